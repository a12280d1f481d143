//! Encodes the actions of the policy as lines of a reply.

use serde_json::Error;
use zincstand_policy::{Action, RequestId, ServerId};
use zincstand_settings::millis_from_micros;

use crate::host::balancer::HostedBalancer;
use crate::wire::action::ReplyLine;

/// Appends a line to the reply.
///
/// # Errors
///
/// Returns an error if the line cannot be encoded.
pub fn write_line(reply: &mut Vec<u8>, line: &ReplyLine<'_>) -> Result<(), Error> {
    serde_json::to_writer(&mut *reply, line)?;
    reply.push(b'\n');
    Ok(())
}

impl HostedBalancer {
    /// Appends the line of an action to the reply, and records what the action does to its request.
    pub fn write_action(&mut self, action: &Action, reply: &mut Vec<u8>) -> Result<(), Error> {
        write_line(reply, &self.reply_line(action))?;
        match action {
            Action::Send { request, .. } => {
                self.requests.record_attempt(*request);
            }
            Action::Reject { request, .. } | Action::Fail { request, .. } => self.requests.finish(*request),
            Action::Cancel { .. }
            | Action::HealthCheck { .. }
            | Action::CloseIdle { .. }
            | Action::Timer { .. }
            | Action::Watch
            | Action::Fetch => {}
        }
        Ok(())
    }

    fn reply_line(&self, action: &Action) -> ReplyLine<'_> {
        let balancer_id = self.id;
        match *action {
            Action::Send { request, server, limit, .. } => ReplyLine::Send {
                balancer_id,
                request: self.wire_id(request),
                limit_ms: millis_from_micros(limit),
                upstream: self.address(server),
            },
            Action::Reject { request, retry_after, .. } => ReplyLine::Reject {
                balancer_id,
                request: self.wire_id(request),
                retry_after_ms: millis_from_micros(retry_after),
            },
            Action::Fail { request, .. } => ReplyLine::Fail { balancer_id, request: self.wire_id(request) },
            Action::Cancel { request, attempt } => {
                ReplyLine::Cancel { balancer_id, request: self.wire_id(request), attempt }
            }
            Action::HealthCheck { server } => {
                ReplyLine::HealthCheck { balancer_id, upstream: self.address(server) }
            }
            Action::CloseIdle { server } => {
                ReplyLine::CloseIdle { balancer_id, upstream: self.address(server) }
            }
            Action::Timer { delay, token } => {
                ReplyLine::SetTimer { balancer_id, delay_ms: millis_from_micros(delay), token }
            }
            Action::Watch => ReplyLine::Subscribe { balancer_id, enable: true },
            Action::Fetch => ReplyLine::FetchList { balancer_id },
        }
    }

    fn wire_id(&self, request: RequestId) -> &str {
        self.requests.wire_id(request)
    }

    fn address(&self, server: ServerId) -> &str {
        self.servers.name(server)
    }
}

#[cfg(test)]
mod tests;
