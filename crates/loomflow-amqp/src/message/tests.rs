use super::*;

#[test]
fn a_timestamp_in_seconds_is_read_as_the_end_of_its_second() {
    let from = SentFrom::Header("at".into());
    let with_header = |value| {
        let mut headers = FieldTable::default();
        headers.insert("at".into(), value);
        AMQPProperties::default().with_headers(headers).with_timestamp(5)
    };
    assert_eq!(sent_at(&from, &with_header(AMQPValue::LongLongInt(7_250))), Some(7_250.0));
    assert_eq!(sent_at(&from, &with_header(AMQPValue::Timestamp(7_250))), Some(7_250.0));
    // A header that is no number or is negative is ignored: the property is used, at the end of its second.
    for value in [AMQPValue::LongString("7250".into()), AMQPValue::LongLongInt(-1)] {
        assert_eq!(sent_at(&from, &with_header(value)), Some(5_999.0));
    }
    let properties = with_header(AMQPValue::LongLongInt(7_250));
    assert_eq!(sent_at(&SentFrom::Timestamp, &properties), Some(5_999.0));
    assert_eq!(sent_at(&from, &AMQPProperties::default()), None);
}

#[test]
fn keys_include_the_application_id_and_are_limited_in_length() {
    let classification = Classification { class: 1, tenant: 2, has_effect: true };
    let key = |from: &KeyFrom, properties: &AMQPProperties| {
        idempotency_key(from, classification, properties).map(|key| key.map(|key| key.text))
    };
    let properties = AMQPProperties::default().with_message_id("id".into());
    assert_eq!(key(&KeyFrom::MessageId, &properties), Ok(Some("id".into())));
    let with_app = properties.clone().with_app_id("app".into());
    assert_eq!(key(&KeyFrom::MessageId, &with_app), Ok(Some("app/id".into())));
    assert_eq!(key(&KeyFrom::MessageId, &AMQPProperties::default()), Ok(None));
    assert_eq!(key(&KeyFrom::MessageId, &AMQPProperties::default().with_message_id("".into())), Ok(None));
    let from = KeyFrom::Header("key".into());
    let with_text = |len: usize| {
        let mut headers = FieldTable::default();
        headers.insert("key".into(), AMQPValue::LongString("k".repeat(len).into()));
        properties.clone().with_headers(headers)
    };
    assert_eq!(key(&from, &with_text(MAX_KEY_BYTES)), Ok(Some("k".repeat(MAX_KEY_BYTES))));
    assert_eq!(key(&from, &with_text(MAX_KEY_BYTES + 1)), Err(FailureReason::KEY_TOO_LONG));
    assert_eq!(key(&from, &properties), Ok(None));
}
