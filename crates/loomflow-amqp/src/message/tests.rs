use super::*;

#[test]
fn a_message_never_counts_as_older_than_its_timestamp() {
    let from = SentFrom::Header("at".into());
    let with = |value| {
        let mut headers = FieldTable::default();
        headers.insert("at".into(), value);
        AMQPProperties::default().with_headers(headers).with_timestamp(5)
    };
    assert_eq!(sent_at(&from, &with(AMQPValue::LongLongInt(7_250))), Some(7_250.0));
    assert_eq!(sent_at(&from, &with(AMQPValue::Timestamp(7_250))), Some(7_250.0));
    // No number, a time before 1970, or no header: the property, at the end of its second.
    for value in [AMQPValue::LongString("7250".into()), AMQPValue::LongLongInt(-1)] {
        assert_eq!(sent_at(&from, &with(value)), Some(5_999.0));
    }
    let property = with(AMQPValue::LongLongInt(7_250));
    assert_eq!(sent_at(&SentFrom::Timestamp, &property), Some(5_999.0));
    assert_eq!(sent_at(&from, &AMQPProperties::default()), None);
}
