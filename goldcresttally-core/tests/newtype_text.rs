//! Newtypes read back what they print, and refuse what they never print.

use goldcresttally_core::{
    AttemptId, ByteSize, NodeId, OperationId, Rate, ServiceName, Share, Verdict,
};

#[test]
fn printed_values_parse() {
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
fn names_fill_columns() {
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
fn wrong_values_are_named() {
    let error = "a b".parse::<ServiceName>().unwrap_err().to_string();
    assert!(error.contains("`a b`") && error.contains("service name"), "{error}");
    "1.5".parse::<Share>().unwrap_err();
    "-1/s".parse::<Rate>().unwrap_err();
    "".parse::<ServiceName>().unwrap_err();
    "x".repeat(65).parse::<ServiceName>().unwrap_err();
}

#[test]
fn verdict_decides_retries() {
    assert!(Verdict::NotRun.may_retry(false));
    assert!(!Verdict::MayHaveRun.may_retry(false));
    assert!(!Verdict::Ran.may_retry(false));
    assert!(Verdict::MayHaveRun.may_retry(true));
}
