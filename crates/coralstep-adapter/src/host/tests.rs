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

/// What `events` lead to right after the start of server 3.
fn after_boot(events: &str) -> (Result<(), String>, String) {
    let (result, output) = run(&format!(
        "MARK ts=1000000000\n{BOOT}\nEOF_BATCH\nMARK ts=1002000000\n{events}"
    ));
    let later = output.strip_prefix("DEFER server=server/3 in=20000000 name=beat\nREADY\n");
    (result, later.unwrap().to_owned())
}

#[test]
fn batches_without_events() {
    assert_eq!(run(""), (Ok(()), String::new()));
    assert_eq!(
        run("MARK ts=1\nEOF_BATCH\n\nMARK ts=1\r\nEOF_BATCH\r\n"),
        (Ok(()), "READY\nREADY\n".to_owned())
    );
}

#[test]
fn ids_come_back_exactly_and_unknown_fields_do_no_harm() {
    let (result, output) = after_boot(
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
fn a_prior_that_nobody_knows_is_taken_for_one_that_ran() {
    let (result, output) =
        after_boot("INBOUND server=server/3 handle=5 type=save footprint=9 prior=4\nEOF_BATCH\n");
    assert_eq!(
        (result, output.as_str()),
        (Ok(()), "REPLAY server=server/3 handle=5\nREADY\n")
    );
}

#[test]
fn a_server_that_starts_again_in_the_same_batch_knows_nothing() {
    let (result, output) = after_boot(&format!(
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
fn bad_input_names_its_line_and_gets_no_reply() {
    for (events, why) in [
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
            after_boot(events),
            (Err(why.to_owned()), String::new()),
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

/// The module gets the due time of each RPC as it came; gauges that stop, and tenants that nobody named at the start, end nothing.
#[test]
fn due_times_and_what_is_missing_are_passed_on_as_they_are() {
    let rpc = |handle: u32, rest: &str| {
        format!("INBOUND server=server/3 handle={handle} type=read footprint=9 {rest}\n")
    };
    let wait =
        "EOF_BATCH\nMARK ts=1952000000\nREMINDER server=server/3 name=beat load=,\nEOF_BATCH\n";
    let aborted = |rest: &str| {
        let (result, output) = after_boot(&format!("{}{wait}", rpc(5, rest)));
        assert_eq!(result, Ok(()));
        assert!(
            output.contains("ADMIT server=server/3 handle=5\n"),
            "{output}"
        );
        output.contains("SURRENDER server=server/3 handle=5\n")
    };
    // 950 ms pass: one that is due after a second is answered early, within its slack, one that says nothing is not due yet.
    assert!(aborted("due=2000000000"));
    assert!(!aborted("due=2100000000") && !aborted("due=0") && !aborted("user_group=nobody"));
    let (result, _) = after_boot(&rpc(6, "due=soon"));
    assert_eq!(
        result,
        Err("line 5: due=soon is no proper value".to_owned())
    );
}
