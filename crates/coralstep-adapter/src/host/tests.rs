use super::serve;

const BOOT: &str = "BOOT server=server/3 entropy=7 az=a classes.count=2 classes.0.name=read \
    classes.0.promise=1000000000 classes.0.deadline=4000000000 classes.0.worth=1 \
    classes.1.name=save classes.1.idempotency=by_key classes.1.promise=1000000000 \
    classes.1.deadline=4000000000 classes.1.window=5000000000 classes.1.worth=2 domain.cores=2 \
    domain.depends_on=tier domain.gauges=sockets,cpu_busy domain.key_kb=10 domain.memory_kb=10000 \
    domain.run_factor=8 safety.fall_multiple=5 group_size=4 realms.count=1 realms.0.name=north \
    realms.0.quota_rps=8 unheard.of=1";

fn run(input: &str) -> (Result<(), String>, String) {
    let mut output = Vec::new();
    let result = serve(input.as_bytes(), &mut output).map_err(|error| error.to_string());
    (result, String::from_utf8(output).unwrap())
}

/// Boots server 3, plays `events` and returns the result and the output after the boot.
fn run_after_boot(events: &str) -> (Result<(), String>, String) {
    let (result, output) = run(&format!(
        "MARK ts=1000000000\n{BOOT}\nEOF_BATCH\nMARK ts=1002000000\n{events}"
    ));
    let later = output.strip_prefix("DEFER server=server/3 in=20000000 name=beat\nREADY\n");
    (result, later.unwrap().to_owned())
}

#[test]
fn batch_without_events_is_answered_with_ready() {
    assert_eq!(run(""), (Ok(()), String::new()));
    assert_eq!(
        run("MARK ts=1\nEOF_BATCH\n\nMARK ts=1\r\nEOF_BATCH\r\n"),
        (Ok(()), "READY\nREADY\n".to_owned())
    );
}

#[test]
fn large_handle_is_preserved_and_unknown_fields_are_ignored() {
    let (result, output) = run_after_boot(
        "INBOUND server=server/3 new=x handle=4503599627370495 type=read user_group=north footprint=9.5 prior=0\n\
         WANTS_CALL server=server/3 handle=4503599627370495\nEOF_BATCH\n",
    );
    assert_eq!(result, Ok(()));
    let lines: Vec<&str> = output.lines().collect();
    assert_eq!(lines[0], "ADMIT server=server/3 handle=4503599627370495");
    assert!(
        lines[1].starts_with("INVOKE server=server/3 handle=4503599627370495 patience="),
        "{output}"
    );
    assert_eq!(lines[2..], ["READY"]);
}

#[test]
fn repeat_of_unknown_attempt_is_replayed() {
    let (result, output) = run_after_boot(
        "INBOUND server=server/3 handle=5 type=save footprint=9 prior=4\nEOF_BATCH\n",
    );
    assert_eq!(
        (result, output.as_str()),
        (Ok(()), "REPLAY server=server/3 handle=5\nREADY\n")
    );
}

#[test]
fn server_restarted_within_a_batch_has_no_earlier_state() {
    let (result, output) = run_after_boot(&format!(
        "INBOUND server=server/3 handle=5 type=read footprint=9\nHALT server=server/3\n{BOOT}\n\
         INBOUND server=server/3 handle=5 type=read footprint=9\nEOF_BATCH\n"
    ));
    assert_eq!(result, Ok(()));
    assert_eq!(
        output.matches("ADMIT server=server/3 handle=5\n").count(),
        2,
        "{output}"
    );
}

#[test]
#[allow(clippy::too_many_lines, reason = "a table of cases")]
fn invalid_input_is_reported_with_line_number_and_without_reply() {
    for (events, error) in [
        (
            "NOVELTY server=server/3\n",
            "line 5: unknown message NOVELTY",
        ),
        (
            "REMINDER server=server/4 name=beat\n",
            "line 5: server/4 was never booted",
        ),
        (
            "ABORTED server=server/3 handle=9\n",
            "line 5: RPC 9 was never delivered",
        ),
        (
            "ABORTED server=server/3 handle=x\n",
            "line 5: handle=x is no proper value",
        ),
        ("SETTLED server=server/3\n", "line 5: no handle"),
        (
            "INBOUND server=server/3 handle=1 type=other\n",
            "line 5: unknown type other",
        ),
        (
            "INBOUND server=server/3 handle=1 type=read footprint=-1\n",
            "line 5: footprint=-1 is no amount",
        ),
        ("MARK ts=1003000000\n", "line 5: MARK inside a batch"),
        (
            "REMINDER server=server/3 name=beat load=0,x\n",
            "line 5: cpu_busy=x is no proper value",
        ),
        ("", "the input ended inside a batch, before EOF_BATCH"),
    ] {
        assert_eq!(
            run_after_boot(events),
            (Err(error.to_owned()), String::new()),
            "{events}"
        );
    }
    assert_eq!(
        run("EOF_BATCH\n").0,
        Err("line 1: EOF_BATCH outside a batch".to_owned())
    );
    assert_eq!(
        run("MARK ts=5\nEOF_BATCH\nMARK ts=4\n").0,
        Err("line 3: the clock went back from 5 to 4".to_owned())
    );
}

/// Deadlines reach the scheduler unchanged; absent gauges and unknown tenants are no errors.
#[test]
fn deadline_is_passed_on_and_missing_gauges_and_tenants_are_accepted() {
    let rpc = |handle: u32, rest: &str| {
        format!("INBOUND server=server/3 handle={handle} type=read footprint=9 {rest}\n")
    };
    let wait =
        "EOF_BATCH\nMARK ts=1952000000\nREMINDER server=server/3 name=beat load=,\nEOF_BATCH\n";
    let fails = |rest: &str| {
        let (result, output) = run_after_boot(&format!("{}{wait}", rpc(5, rest)));
        assert_eq!(result, Ok(()));
        assert!(
            output.contains("ADMIT server=server/3 handle=5\n"),
            "{output}"
        );
        output.contains("SURRENDER server=server/3 handle=5\n")
    };
    // After 950 ms a deadline of 1 s is within the response margin; later or absent deadlines are not.
    assert!(fails("due=2000000000"));
    assert!(!fails("due=2100000000") && !fails("due=0") && !fails("user_group=nobody"));
    let (result, _) = run_after_boot(&rpc(6, "due=soon"));
    assert_eq!(
        result,
        Err("line 5: due=soon is no proper value".to_owned())
    );
}
