//! Several servers that settle among themselves who is out for work, with faults between them. Judged by their processes
//! and by what the operators' commands print.

use loomflow_standins::fleet::{Fleet, Plan};

#[test]
fn one_is_taken_out_drains_and_comes_back() {
    let mut fleet = Fleet::founded(Plan::default());
    let ticket = fleet.ask(0, 1);
    assert_eq!(fleet.ended(1), Some(0));
    fleet.wait_until("it is out", |fleet| fleet.stage(0, ticket) == "Out");
    fleet.start_one(1);
    fleet.wait_until("it is done", |fleet| fleet.stage(0, ticket) == "Done");
    assert!(fleet.runs(0) && fleet.runs(1) && fleet.runs(2));
}
