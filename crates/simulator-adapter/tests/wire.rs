//! The adapter as a process, with hand-written and recorded exchanges.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Settings with unknown keys, which the adapter ignores.
const SETUP: &str = r#"{"Areas":["a","b"],"Balancers":2,"Categories":[{"DeadlineMs":1000.0,"DedupWindowMs":0.0,"Effect":"retryable","Group":"all","LateWorth":0.0,"Name":"get","Streaming":false,"TargetMs":500.0,"Value":1.0}],"ClientHabits":{"MarksRetry":true},"Discovery":"automatic","Extra":{"PassesDeadline":true},"Family":"chain","Goal":{"Whole":1.0},"GranularityMs":1.0,"Kinds":["k"],"Limits":{"Cancel":true,"MostTries":3,"NewLimit":7},"Me":0,"Realms":[],"Rules":{"ColdFrom":0.5,"DrainGraceMs":500.0,"OverloadFactor":3.0,"TipAfterMs":1000.0,"WarmAfterMs":5000.0},"Stage":0,"Stats":{"Fields":["backlog"],"How":"answers"},"Tariffs":{"CrossZone":0.01},"Tiers":["t"],"Weights":"none","WorthBy":"request","Zone":"a","SomethingNew":[1]}"#;

/// Runs the adapter with the input and returns its output.
fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_zincstand-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child
        .stdin
        .take()
        .expect("standard input is piped")
        .write_all(input.as_bytes())
        .expect("the adapter reads its input");
    child.wait_with_output().expect("the adapter exits")
}

/// Returns the input that begins a batch and starts balancer 4 with one server, followed by `rest`.
fn batch_with_balancer(rest: &str) -> String {
    let table = r#"{"Table":{"SetId":3,"Items":[{"Upstream":"10.0.0.1:80","Locality":"a","Machine":"k","Group":0,"Condition":"on","Weight":1}]}}"#;
    format!(
        "{{\"BeginBatch\":{{\"NowMs\":10.5}}}}\n{{\"PowerOn\":{{\"BalancerId\":4,\"RngSeed\":5,\"Setup\":{SETUP}}}}}\n\
         {table}\n{{\"Fleet\":{{\"BalancerId\":4,\"Form\":\"stale_copy\",\"Index\":1,\"SetId\":3}}}}\n{rest}"
    )
}

/// The arrival of a request.
const REQUEST: &str = r#"{"JobIn":{"BalancerId":4,"Rid":"r-1","Lane":"get","TimeLeftMs":240.0}}"#;
/// The end of a batch.
const COMMIT: &str = r#"{"Commit":{}}"#;

/// Asserts that the adapter fails with the message, and that it sends no part of a reply.
fn assert_fails(input: &str, message: &str) {
    let output = assert_fails_after_replies(input, message);
    assert!(
        !String::from_utf8_lossy(&output.stdout).contains("CallOut"),
        "the adapter sent a part of a reply"
    );
}

/// Asserts that the adapter fails with one line that contains the number of an input line and the message,
/// whatever it has replied before.
fn assert_fails_after_replies(input: &str, message: &str) -> Output {
    let output = run_adapter(input);
    assert!(!output.status.success(), "the adapter did not fail on {input}");
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains(message) && text.contains("line ") && text.lines().count() == 1, "{text}");
    output
}

#[test]
fn a_request_is_sent_and_its_outcome_accepted() {
    let ended = r#"{"Resolved":{"BalancerId":4,"Rid":"r-1","Trial":0,"Upstream":"10.0.0.1:80","Disposition":"S","TimeTakenMs":8.5,"Final":true,"Load":{"backlog":2,"unheard_of":1}}}"#;
    let batch = "{\"BeginBatch\":{\"NowMs\":30}}";
    let output =
        run_adapter(&batch_with_balancer(&format!("{REQUEST}\n{COMMIT}\n{batch}\n{ended}\n{COMMIT}\n")));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).expect("the reply is UTF-8");
    let send = r#"{"CallOut":{"BalancerId":4,"Rid":"r-1","LimitMs":240.0,"Upstream":"10.0.0.1:80"}}"#;
    assert!(text.lines().any(|line| line == send), "{text}");
    assert_eq!(text.lines().filter(|line| *line == r#"{"Yield":{}}"#).count(), 2);
}

/// Returns the lines of the replies, except for timers.
fn reply_lines(output: &Output) -> Vec<String> {
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout.clone()).expect("the reply is UTF-8");
    text.lines().filter(|line| !line.contains("Schedule")).map(str::to_owned).collect()
}

/// Returns the end of an attempt of the request, with further keys in `rest`.
fn attempt_ended(attempt: u32, outcome: &str, rest: &str) -> String {
    format!(
        "{{\"Resolved\":{{\"BalancerId\":4,\"Rid\":\"r-1\",\"Trial\":{attempt},\"Upstream\":\"10.0.0.1:80\",\
         \"Disposition\":\"{outcome}\",\"TimeTakenMs\":8.5{rest}}}}}"
    )
}

/// Returns how many attempts are sent for the request if the first one ends with the outcome.
fn attempt_count_after(outcome: &str, rest: &str) -> usize {
    let end = attempt_ended(0, outcome, rest);
    let later = "{\"BeginBatch\":{\"NowMs\":60}}\n{\"Bell\":{\"BalancerId\":4,\"Ctx\":1}}";
    let input = format!(
        "{REQUEST}\n{COMMIT}\n{{\"BeginBatch\":{{\"NowMs\":30}}}}\n{end}\n{COMMIT}\n{later}\n{COMMIT}\n"
    );
    let lines = reply_lines(&run_adapter(&batch_with_balancer(&input)));
    lines.iter().filter(|line| line.contains("CallOut")).count()
}

#[test]
fn every_outcome_is_accepted() {
    // The class is idempotent, so each attempt that failed is retried.
    for outcome in ["E", "F", "T", "C", "R", "X", "N"] {
        assert_eq!(attempt_count_after(outcome, ""), 2, "{outcome}");
    }
    assert_eq!(attempt_count_after("S", ",\"Final\":true"), 1);
}

#[test]
fn an_unknown_outcome_ends_the_adapter() {
    let input = batch_with_balancer(&format!("{REQUEST}\n{COMMIT}\n")) + "{\"BeginBatch\":{\"NowMs\":30}}\n";
    assert_fails_after_replies(&(input + &attempt_ended(0, "Q", "") + "\n"), "Q");
}

#[test]
fn an_outcome_after_the_final_answer_is_accepted() {
    let disconnected = r#"{"Aborted":{"BalancerId":4,"Rid":"r-1"}}"#;
    let next = "{\"BeginBatch\":{\"NowMs\":30}}";
    let late = attempt_ended(0, "T", ",\"Final\":true");
    let output = run_adapter(&batch_with_balancer(&format!(
        "{REQUEST}\n{COMMIT}\n{next}\n{disconnected}\n{late}\n{late}\n{disconnected}\n{COMMIT}\n"
    )));
    assert_eq!(
        reply_lines(&output).iter().filter(|line| line.contains("r-1")).count(),
        1,
        "one attempt, and nothing after it"
    );
}

#[test]
fn a_table_id_refers_to_the_latest_table_before_the_list() {
    let table = |server: u32| {
        format!(
            r#"{{"Table":{{"SetId":3,"Items":[{{"Upstream":"10.0.0.{server}:80","Locality":"a","Machine":"k","Group":0,"Condition":"on","Weight":1,"LastStartMs":0}}]}}}}"#
        )
    };
    let list =
        |index: u32| format!(r#"{{"Fleet":{{"BalancerId":4,"Form":"whole","Index":{index},"SetId":3}}}}"#);
    let input = format!("{}\n{}\n{}\n{}\n{REQUEST}\n{COMMIT}\n", table(7), list(2), table(8), list(3));
    let lines = reply_lines(&run_adapter(&batch_with_balancer(&input)));
    assert!(lines.iter().any(|line| line.contains("CallOut") && line.contains("10.0.0.8:80")), "{lines:?}");
}

#[test]
fn a_balancer_starts_again_in_the_batch_that_stopped_it() {
    let stop = r#"{"Teardown":{"BalancerId":4}}"#;
    let restart = batch_with_balancer("").lines().skip(1).collect::<Vec<_>>().join("\n");
    let next = "{\"BeginBatch\":{\"NowMs\":30}}";
    let output = run_adapter(&batch_with_balancer(&format!(
        "{REQUEST}\n{COMMIT}\n{next}\n{stop}\n{restart}\n{}\n{REQUEST}\n{COMMIT}\n",
        attempt_ended(0, "T", "")
    )));
    assert_eq!(
        reply_lines(&output).iter().filter(|line| line.contains("CallOut")).count(),
        2,
        "one attempt before the stop and one after it"
    );
}

#[test]
fn tenants_streams_health_checks_and_failed_lists_are_accepted() {
    let with_tenant = batch_with_balancer("").replace(
        r#""Realms":[]"#,
        r#""Realms":[{"Name":"north","QuotaRps":5.0,"Share":0.5}],"OverShareWorth":0.1"#,
    );
    let request =
        REQUEST.replace("\"Lane\"", "\"Owner\":\"north\",\"TargetKey\":\"k\",\"Update\":true,\"Lane\"");
    let first_byte =
        r#"{"AckFirst":{"BalancerId":4,"Rid":"r-1","Trial":0,"TimeTakenMs":3,"Upstream":"10.0.0.1:80"}}"#;
    let health_check = r#"{"Echo":{"BalancerId":4,"Upstream":"10.0.0.1:80","Disposition":"S","TimeTakenMs":3,"Load":{"outstanding":1,"recent_ms":4,"x9":1}}}"#;
    let failed_list = r#"{"Fleet":{"BalancerId":4,"Form":"broken","Index":1}}"#;
    let lines = reply_lines(&run_adapter(&format!(
        "{with_tenant}{request}\n{first_byte}\n{health_check}\n{failed_list}\n{COMMIT}\n"
    )));
    assert_eq!(lines.iter().filter(|line| line.contains("CallOut")).count(), 1, "{lines:?}");
    assert_fails(
        &format!("{with_tenant}{}\n{COMMIT}\n", request.replace("north", "south")),
        "unknown tenant",
    );
}

#[test]
fn events_for_unknown_balancers_and_gossip_are_ignored() {
    let peer = r#"{"Peer":{"BalancerId":4,"Sender":1,"Contents":"x"}}"#;
    let disconnected = r#"{"Aborted":{"BalancerId":4,"Rid":"nobody"}}"#;
    let stop = r#"{"Teardown":{"BalancerId":9}}"#;
    assert!(
        run_adapter(&batch_with_balancer(&format!("{peer}\n{disconnected}\n{stop}\n{COMMIT}\n")))
            .status
            .success()
    );
}

#[test]
fn the_end_of_the_input_is_a_clean_exit() {
    assert!(run_adapter("").status.success());
}

#[test]
fn malformed_input_ends_the_adapter_with_a_message() {
    assert_fails("{\"BeginBatch\":{\"NowMs\":1}}\nnonsense\n", "line 2");
    assert_fails("{\"BeginBatch\":{\"NowMs\":1}}\n{\"Unheard\":{}}\n", "Unheard");
    assert_fails("{\"BeginBatch\":{}}\n", "NowMs");
    assert_fails("{\"Commit\":{}}\n", "outside a batch");
    assert_fails(&batch_with_balancer(REQUEST), "inside a batch");
    assert_fails(
        &batch_with_balancer(&format!("{}\n{COMMIT}\n", REQUEST.replace("\"get\"", "\"got\""))),
        "unknown class",
    );
    assert_fails(
        &batch_with_balancer(&format!("{}\n{COMMIT}\n", REQUEST.replace(",\"TimeLeftMs\":240.0", ""))),
        "TimeLeftMs",
    );
    let without_attempts = batch_with_balancer(COMMIT).replace("\"MostTries\":3", "\"MostTries\":0");
    assert_fails(&without_attempts, "Limits.MostTries is 0, but must be 1 or more");
}

/// Two balancers over two seconds, one with pushed and one with polled discovery: requests of four classes,
/// most kinds of outcome, a restart, a drain, a failed list. After an intended change of the policy's decisions, record
/// the replies again: `zincstand-adapter < recorded-events.jsonl > recorded-replies.jsonl`.
#[test]
fn a_recorded_exchange_is_replied_to_byte_for_byte() {
    let output = run_adapter(include_str!("data/recorded-events.jsonl"));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let replies = String::from_utf8(output.stdout).expect("the reply is UTF-8");
    let recorded = include_str!("data/recorded-replies.jsonl");
    for (number, (reply, expected)) in replies.lines().zip(recorded.lines()).enumerate() {
        assert_eq!(reply, expected, "line {}", number + 1);
    }
    assert_eq!(replies.len(), recorded.len());
}
