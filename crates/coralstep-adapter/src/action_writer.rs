//! Writes the scheduler's actions as protocol lines.
use std::fmt::{Arguments, Write};

use coralstep::{Actions, Event, RpcId, Span};

use crate::handles::HandleMap;
use crate::log_text::LogText;
use crate::units::nanoseconds;

/// Appends actions to the reply of a batch.
pub(crate) struct ActionWriter<'a> {
    pub(crate) server: u64,
    pub(crate) now_ns: u64,
    pub(crate) handles: &'a mut HandleMap,
    pub(crate) reply: &'a mut String,
}

impl ActionWriter<'_> {
    fn write_line(&mut self, action: &str, fields: Arguments<'_>) {
        // Writing to a String can't fail.
        let _ = writeln!(self.reply, "{action} server=server/{}{fields}", self.server);
    }

    fn write_rpc_line(&mut self, action: &str, rpc: RpcId) {
        self.write_line(action, format_args!(" handle={}", self.handles.handle(rpc)));
    }
}

impl Actions for ActionWriter<'_> {
    fn admit(&mut self, rpc: RpcId) {
        self.write_rpc_line("ADMIT", rpc);
    }

    fn reject(&mut self, rpc: RpcId, retry_after: Span, is_final: bool) {
        let handle = self.handles.handle(rpc);
        let suffix = if is_final { " give_up=1" } else { "" };
        match nanoseconds(retry_after) {
            0 => self.write_line("DENY", format_args!(" handle={handle}{suffix}")),
            retry_after => self.write_line(
                "DENY",
                format_args!(" handle={handle} not_before_for={retry_after}{suffix}"),
            ),
        }
    }

    fn fail(&mut self, rpc: RpcId) {
        self.write_rpc_line("SURRENDER", rpc);
    }

    fn call(&mut self, rpc: RpcId, timeout: Span) {
        let handle = self.handles.handle(rpc);
        let patience = nanoseconds(timeout).max(1);
        self.write_line(
            "INVOKE",
            format_args!(" handle={handle} patience={patience}"),
        );
    }

    fn skip_call(&mut self, rpc: RpcId) {
        self.write_rpc_line("FALL_BACK", rpc);
    }

    fn preempt(&mut self, rpc: RpcId) {
        self.write_rpc_line("PREEMPT", rpc);
    }

    fn retain_key(&mut self, rpc: RpcId, span: Span) {
        let handle = self.handles.handle(rpc);
        let span = nanoseconds(span);
        self.write_line("RETAIN", format_args!(" handle={handle} span={span}"));
    }

    fn release_key(&mut self, rpc: RpcId) {
        self.write_rpc_line("UNPIN", rpc);
    }

    fn replay(&mut self, rpc: RpcId) {
        self.write_rpc_line("REPLAY", rpc);
    }

    fn set_health(&mut self, healthy: bool) {
        let enable = u8::from(healthy);
        self.write_line("SET_HEALTH", format_args!(" enable={enable} stored=1"));
    }

    fn report_load(&mut self, value: f64) {
        self.write_line("SIGNAL", format_args!(" amount={value}"));
    }

    fn set_idle_timeout(&mut self, span: Span) {
        self.write_line("IDLE_LIMIT", format_args!(" span={}", nanoseconds(span)));
    }

    fn set_timer(&mut self, span: Span) {
        let span = nanoseconds(span);
        self.write_line("DEFER", format_args!(" in={span} name=beat"));
    }

    fn log(&mut self, event: Event) {
        self.write_line("LOG", format_args!(" words={}", LogText(event)));
    }

    fn release_id(&mut self, rpc: RpcId) {
        self.handles.release(rpc, self.now_ns);
    }
}
