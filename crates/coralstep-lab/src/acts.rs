//! Records the actions of a scheduler in order, for the simulated servers that carry them out.
use coralstep::{Actions, BreakerTransition, RpcId, Span};

/// An action of the scheduler, as in [`Actions`].
pub enum Action {
    Admit(RpcId),
    /// With the Retry-After, and whether no other server should be tried.
    Reject(RpcId, Span, bool),
    Fail(RpcId),
    Call(RpcId, Span),
    SkipCall(RpcId),
    Preempt(RpcId),
    RetainKey(RpcId),
    ReleaseKey(RpcId),
    Replay(RpcId),
    ReleaseId(RpcId),
    SetHealth(bool),
    SetTimer(Span),
    BreakerTransition(BreakerTransition),
}

/// The actions of one scheduler call, in order.
#[derive(Default)]
pub struct RecordedActions(pub Vec<Action>);

impl Actions for RecordedActions {
    fn admit(&mut self, rpc: RpcId) {
        self.0.push(Action::Admit(rpc));
    }
    fn reject(&mut self, rpc: RpcId, after: Span, last: bool) {
        self.0.push(Action::Reject(rpc, after, last));
    }
    fn fail(&mut self, rpc: RpcId) {
        self.0.push(Action::Fail(rpc));
    }
    fn call(&mut self, rpc: RpcId, patience: Span) {
        self.0.push(Action::Call(rpc, patience));
    }
    fn skip_call(&mut self, rpc: RpcId) {
        self.0.push(Action::SkipCall(rpc));
    }
    fn preempt(&mut self, rpc: RpcId) {
        self.0.push(Action::Preempt(rpc));
    }
    fn retain_key(&mut self, rpc: RpcId, _span: Span) {
        self.0.push(Action::RetainKey(rpc));
    }
    fn release_key(&mut self, rpc: RpcId) {
        self.0.push(Action::ReleaseKey(rpc));
    }
    fn replay(&mut self, rpc: RpcId) {
        self.0.push(Action::Replay(rpc));
    }
    fn set_health(&mut self, good: bool) {
        self.0.push(Action::SetHealth(good));
    }
    fn set_timer(&mut self, span: Span) {
        self.0.push(Action::SetTimer(span));
    }
    fn breaker_transition(&mut self, turn: BreakerTransition) {
        self.0.push(Action::BreakerTransition(turn));
    }
    fn release_id(&mut self, rpc: RpcId) {
        self.0.push(Action::ReleaseId(rpc));
    }
}
