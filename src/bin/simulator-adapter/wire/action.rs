//! Writes the actions of a gateway as messages to the simulator.

use edge_gateway::Action;
use std::io::{self, Write};

/// Writes an action of the gateway on `node` as one line.
///
/// # Errors
/// If writing to the output fails.
pub fn write_action(output: &mut impl Write, node: u64, action: &Action) -> io::Result<()> {
    match action {
        Action::Forward { request, endpoint, timeout_at } => {
            writeln!(
                output,
                "hand_off node={node} requestId={request} server={endpoint} cutAtMs={timeout_at:.3}"
            )
        }
        Action::Reject { request, retry_after, .. } => {
            writeln!(output, "decline node={node} requestId={request} stayAwayMs={retry_after:.3}")
        }
        Action::Fail { request } => writeln!(output, "drop_request node={node} requestId={request}"),
        Action::CancelAttempt { request, attempt } => {
            writeln!(output, "drop_attempt node={node} requestId={request} copy={attempt}")
        }
        Action::SetTimer { token, at } => writeln!(output, "timer node={node} ctx={token} instantMs={at:.3}"),
        Action::Subscribe => writeln!(output, "keep_informed node={node} active=1"),
        Action::Log(summary) => writeln!(output, "write_log node={node} what={summary}"),
    }
}
