use super::*;

#[test]
fn rpcs_in_hand_count_also_where_their_limit_goes_and_comes_again() {
    let limit = Limit {
        key: 1,
        name: "x".to_owned(),
        tenant: None,
        method: Some(0),
        calls: false,
        kind: Kind::InHand(2),
        cut_off: CutOff::Strict,
    };
    let mut holder = Holder::new(std::slice::from_ref(&limit), 0);
    let gives = |holder: &mut Holder, now: Ms| {
        let _ = holder.admit(now, Which::default(), 1_000);
        let (number, asks) = holder.asks(now + 300, false).pop().unwrap();
        assert_eq!(asks[0].key, 1);
        holder.gives(
            now + 310,
            7,
            number,
            10_000,
            250,
            &[Give {
                key: 1,
                units: 2,
                wait_ms: 0,
            }],
        );
    };
    gives(&mut holder, 0);
    let first = holder.admit(400, Which::default(), 1_000).unwrap();
    let second = holder.admit(400, Which::default(), 1_000).unwrap();
    holder.limits(&[], 500);
    assert_eq!(
        holder.admit(500, Which::default(), 1_000),
        Ok(Pass::default())
    );
    holder.done(first);
    holder.limits(&[limit], 600);
    gives(&mut holder, 600);
    // One of two is still in hand.
    assert!(holder.admit(1_000, Which::default(), 1_000).is_ok());
    assert!(holder.admit(1_000, Which::default(), 1_000).is_err());
    holder.done(second);
    assert!(holder.admit(1_000, Which::default(), 1_000).is_ok());
}
