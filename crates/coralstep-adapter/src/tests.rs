use super::serve;

fn run(input: &str) -> (Result<(), String>, String) {
    let mut output = Vec::new();
    let result = serve(input.as_bytes(), &mut output);
    (result, String::from_utf8(output).unwrap())
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let (result, output) = run("MARK ts=1\nEOF_BATCH\n");
    assert_eq!((result, output.as_str()), (Ok(()), "READY\n"));
}
