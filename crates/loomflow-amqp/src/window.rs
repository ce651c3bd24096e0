//! How much to take: the decision of a front that pulls.
//!
//! A gateway is told a send share and passes this server by that often. A queue has no caller to tell, so its share
//! is how many of its messages may be in hand unacknowledged. The window of a queue follows the design of the module:
//!
//! - what it may hold at a send share of 1 rises by additions while that is what limits it, and is cut by a factor at
//!   most once in the loop's dead time, which is how long a message takes from delivery to answer;
//! - cut when the module refuses its messages, and when they wait for longer than they are worked at: by Little's law
//!   more is then held than keeps the work going, and the rest would better wait at the broker;
//! - the module's send share scales it, as it scales what gateways send.
//!
//! Windows of several queues share one bound by worth.

/// Cut to this part; the module's running limit is cut alike.
const CUT: f64 = 0.8;
/// Part of its place that a message gives back, where messages say when they were sent and too much is held.
const GIVEN_BACK: f64 = 0.125;
/// Weight of the newest time in the smoothed ones.
const NEWEST: f64 = 0.125;

/// How a message ended that was in hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Served,
    Refused,
    /// Neither tells how much is too much.
    Otherwise,
}

/// What is known of a message that was in hand, ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seen {
    pub ended: Ended,
    /// How long it stood at the broker, where it says when it was sent.
    pub stood: Option<f64>,
    /// From its delivery to the beginning of its run, where that began.
    pub waited: Option<f64>,
    /// From its delivery to its answer.
    pub took: f64,
    /// As much was in hand as may be, so that more could have been used.
    pub limited: bool,
}

#[derive(Clone, Debug)]
pub struct Window {
    /// What may be in hand at a send share of 1.
    full: f64,
    /// It has been cut: from then on it rises by one in a dead time and not with each message.
    settled: bool,
    /// Smoothed times of a message, ms: from delivery to answer, which is the dead time of the loop; to the beginning of
    /// its run; from there to the answer; at the broker.
    took: f64,
    waited: f64,
    worked: f64,
    stood: f64,
    /// No further cut before.
    next_cut: f64,
}

impl Default for Window {
    fn default() -> Window {
        Window {
            full: 1.0,
            settled: false,
            took: 0.0,
            waited: 0.0,
            worked: 0.0,
            stood: 0.0,
            next_cut: f64::NEG_INFINITY,
        }
    }
}

fn smooth(mean: &mut f64, newest: f64) {
    *mean += (newest - *mean) * if *mean == 0.0 { 1.0 } else { NEWEST };
}

impl Window {
    /// A message was answered.
    pub fn answered(&mut self, seen: Seen, now: f64) {
        if seen.ended == Ended::Otherwise {
            return;
        }
        smooth(&mut self.took, seen.took);
        if let Some(waited) = seen.waited {
            self.waited += (waited - self.waited) * NEWEST;
            smooth(&mut self.worked, seen.took - waited);
        }
        self.stood += (seen.stood.unwrap_or(0.0) - self.stood) * NEWEST;
        // What stands at the broker has no order and no answer there: it is taken in, to be judged.
        let too_much = seen.ended == Ended::Refused || self.waited > self.worked;
        if self.stood > self.worked {
            self.full += 1.0;
        } else if too_much && seen.stood.is_some() {
            // A cut by a factor would stop all intake until as much has ended, and let it stand at the broker meanwhile.
            self.full = (self.full - GIVEN_BACK).max(1.0);
            self.settled = true;
        } else if too_much {
            if now >= self.next_cut {
                self.full = (self.full * CUT).max(1.0);
                self.settled = true;
                self.next_cut = now + self.took;
            }
        } else if seen.limited {
            self.full += if self.settled { 1.0 / self.full } else { 1.0 };
        }
    }

    /// How long messages stood at the broker of late, ms, by what they say.
    pub fn stood(&self) -> f64 {
        self.stood
    }

    /// What it would hold, at the send share that callers are told.
    pub fn wanted(&self, share: f64) -> f64 {
        (self.full * share.clamp(0.0, 1.0)).max(1.0)
    }

    /// Nothing beyond `most` is of use.
    pub fn bound(&mut self, most: f64) {
        self.full = self.full.min(most.max(1.0));
    }
}

/// Parts of `total` for queues that want so much and are worth so much a message: each gets what it wants or, where
/// that is too much, a part by worth ("weighted max-min fairness"). Whole messages; while there is one for each, each
/// gets one.
pub fn divide(total: usize, wants: &[(f64, f64)]) -> Vec<usize> {
    let mut parts = vec![0.0; wants.len()];
    let mut left = total as f64;
    let mut open: Vec<usize> = (0..wants.len()).collect();
    // Who wants less than its part gives the rest to the others, until nobody does.
    while !open.is_empty() && left > 0.0 {
        let worth: f64 = open.iter().map(|at| wants[*at].1).sum();
        let part =
            |at: usize| if worth > 0.0 { left * wants[at].1 / worth } else { left / open.len() as f64 };
        let (content, rest): (Vec<usize>, Vec<usize>) =
            open.iter().copied().partition(|at| wants[*at].0 <= part(*at));
        if content.is_empty() {
            rest.iter().for_each(|at| parts[*at] = part(*at));
            break;
        }
        for at in content {
            parts[at] = wants[at].0;
            left -= wants[at].0;
        }
        open = rest;
    }
    let mut whole: Vec<usize> = parts.iter().map(|part| *part as usize).collect();
    let mut spare = total - whole.iter().sum::<usize>().min(total);
    for part in whole.iter_mut().filter(|part| **part == 0) {
        if spare > 0 {
            (*part, spare) = (1, spare - 1);
        }
    }
    whole
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn served(waited: f64, took: f64, limited: bool) -> Seen {
        Seen { ended: Ended::Served, stood: None, waited: Some(waited), took, limited }
    }

    fn refused(took: f64) -> Seen {
        Seen { ended: Ended::Refused, stood: None, waited: None, took, limited: true }
    }

    /// Messages of one queue on so many cores, each worked at for `work` ms; the window after so many of them.
    fn played(cores: usize, work: f64, rounds: usize) -> (Window, Vec<usize>) {
        let mut window = Window::default();
        let (mut now, mut sizes) = (0.0, Vec::new());
        let mut free = vec![0.0_f64; cores];
        let mut hand: Vec<(f64, f64, f64)> = Vec::new();
        for _ in 0..rounds {
            let size = window.wanted(1.0) as usize;
            while hand.len() < size {
                let core = (0..cores).min_by(|a, b| free[*a].total_cmp(&free[*b])).unwrap();
                let begin = free[core].max(now);
                free[core] = begin + work;
                hand.push((now, begin, begin + work));
            }
            let at = (0..hand.len()).min_by(|a, b| hand[*a].2.total_cmp(&hand[*b].2)).unwrap();
            let limited = hand.len() >= size;
            let (came, began, ended) = hand.swap_remove(at);
            now = ended;
            window.answered(served(began - came, ended - came, limited), now);
            sizes.push(size);
        }
        (window, sizes)
    }

    #[test]
    fn it_keeps_all_cores_busy_and_holds_about_as_much_again() {
        for cores in [1, 4, 16] {
            let (_, sizes) = played(cores, 10.0, 4_000);
            let late = &sizes[2_000..];
            let mean = late.iter().sum::<usize>() as f64 / late.len() as f64;
            assert!(*late.iter().min().unwrap() >= cores, "{cores}: {:?}", late.iter().min());
            assert!(mean <= 3.0 * cores as f64 + 1.0, "{cores}: {mean}");
        }
    }

    #[test]
    fn refusals_cut_it_once_in_a_dead_time() {
        let (mut window, _) = played(8, 10.0, 1_000);
        let before = window.wanted(1.0);
        for _ in 0..10 {
            window.answered(refused(0.0), 1e6);
        }
        assert_eq!(window.wanted(1.0), (before * CUT).max(1.0));
        window.answered(refused(0.0), 2e6);
        assert!(window.wanted(1.0) < before * CUT);
        // Something is always asked for, so that it is seen when things are well again.
        (0..100).for_each(|at| window.answered(refused(1.0), 3e6 + 1e3 * f64::from(at)));
        assert_eq!((window.wanted(1.0), window.wanted(0.05)), (1.0, 1.0));
    }

    #[test]
    fn what_stands_at_the_broker_is_taken_in_and_a_full_server_leaves_fresh_messages_to_others() {
        let (mut window, _) = played(4, 10.0, 1_000);
        let ends = |window: &mut Window, ended, stood, count: usize| {
            let waited = (ended == Ended::Served).then_some(2.0);
            let seen = Seen { ended, stood: Some(stood), waited, took: 12.0, limited: false };
            (0..count).for_each(|at| window.answered(seen, 1e6 + at as f64));
        };
        // A second of them under twice the load: as many more in hand as ended, refused or not.
        let before = window.wanted(1.0);
        ends(&mut window, Ended::Served, 200.0, 20);
        ends(&mut window, Ended::Refused, 200.0, 400);
        assert!(window.wanted(1.0) >= before + 400.0 && window.stood() > 190.0);
        // Nothing stands there any more: some are given back with each refusal, never all at once, down to one.
        let large = window.wanted(1.0);
        ends(&mut window, Ended::Refused, 0.0, 40);
        assert!((0.9 * large..large + 40.0).contains(&window.wanted(1.0)));
        ends(&mut window, Ended::Refused, 0.0, 9 * large as usize);
        assert_eq!(window.wanted(1.0), 1.0);
    }

    #[test]
    fn the_send_share_scales_it() {
        let (window, _) = played(16, 10.0, 2_000);
        assert_eq!(window.wanted(0.25), window.wanted(1.0) * 0.25);
    }

    #[test]
    fn worth_divides_what_is_short_and_nobody_gets_more_than_wanted() {
        assert_eq!(divide(12, &[(4.0, 1.0), (4.0, 9.0)]), [4, 4]);
        assert_eq!(divide(12, &[(90.0, 1.0), (90.0, 3.0)]), [3, 9]);
        assert_eq!(divide(12, &[(90.0, 1.0), (2.0, 3.0)]), [10, 2]);
        assert_eq!(divide(3, &[(9.0, 0.0), (9.0, 5.0)]), [0, 3]);
        assert_eq!(divide(0, &[(9.0, 1.0)]), [0]);
    }

    proptest! {
        #[test]
        fn parts_never_exceed_the_whole_or_a_wish_and_leave_nothing_that_is_wanted(
            total in 0usize..200,
            wants in proptest::collection::vec((1.0f64..80.0, 0.1f64..9.0), 1..6)
        ) {
            let parts = divide(total, &wants);
            prop_assert!(parts.iter().sum::<usize>() <= total);
            for (part, (want, _)) in parts.iter().zip(&wants) {
                prop_assert!(*part as f64 <= *want);
            }
            let wanted: f64 = wants.iter().map(|w| w.0).sum();
            let least = (total as f64).min(wanted) - wants.len() as f64;
            prop_assert!(parts.iter().sum::<usize>() as f64 >= least);
        }
    }
}
