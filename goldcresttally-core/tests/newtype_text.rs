//! Newtypes parse the text they are written as, and reject invalid text.

use goldcresttally_core::{
    AttemptId, ByteSize, NodeId, OperationId, Rate, ServiceName, Share, Verdict,
};

#[test]
fn written_values_parse_back() {
    arbtest::arbtest(|u| {
        let origin = NodeId((u.arbitrary::<[u8; 4]>()?, u.arbitrary::<u16>()?).into());
        let id = AttemptId {
            origin,
            generation: goldcresttally_core::Generation(u.arbitrary()?),
            sequence: u.arbitrary()?,
        };
        assert_eq!(id.to_string().parse(), Ok(id));
        let operation = OperationId(u.arbitrary()?);
        assert_eq!(operation.to_string().parse(), Ok(operation));
        let size = ByteSize(u.int_in_range(0..=1 << 31)?);
        assert_eq!(size.to_string().parse(), Ok(size));
        Ok(())
    });
}

#[test]
fn names_are_padded_to_column_width() {
    let name: ServiceName = "booking".parse().unwrap();
    assert_eq!(format!("{name:<10}|"), "booking   |");
}

#[test]
fn arbitrary_text_never_panics() {
    arbtest::arbtest(|u| {
        let text: String = u.arbitrary()?;
        let _ = text.parse::<AttemptId>();
        let _ = text.parse::<ByteSize>();
        let _ = text.parse::<Rate>();
        let _ = text.parse::<Share>();
        if let Ok(name) = text.parse::<ServiceName>() {
            assert_eq!(name.as_str(), text);
        }
        Ok(())
    });
}

#[test]
fn invalid_values_are_rejected_with_text_and_kind() {
    let error = "a b".parse::<ServiceName>().unwrap_err().to_string();
    assert!(error.contains("`a b`") && error.contains("service name"), "{error}");
    "1.5".parse::<Share>().unwrap_err();
    "-1/s".parse::<Rate>().unwrap_err();
    "".parse::<ServiceName>().unwrap_err();
    "x".repeat(65).parse::<ServiceName>().unwrap_err();
}

#[test]
fn only_idempotent_or_not_run_is_retried() {
    assert!(Verdict::NotRun.may_retry(false));
    assert!(!Verdict::MayHaveRun.may_retry(false));
    assert!(!Verdict::Ran.may_retry(false));
    assert!(Verdict::MayHaveRun.may_retry(true));
}
