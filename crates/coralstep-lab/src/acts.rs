//! What a server decides, kept in order until it is carried out: the outlet of all that plays servers in virtual time.
use coralstep::{Actions, BreakerTransition, RpcId, Span};

pub enum Act {
    Admit(RpcId),
    /// With the advice when to come back, and whether to try nowhere else.
    PushBack(RpcId, Span, bool),
    Abort(RpcId),
    Call(RpcId, Span),
    Skip(RpcId),
    Preempt(RpcId),
    Keep(RpcId),
    Drop(RpcId),
    Replay(RpcId),
    Release(RpcId),
    Health(bool),
    Timer(Span),
    Turn(BreakerTransition),
}

#[derive(Default)]
pub struct Acts(pub Vec<Act>);

impl Actions for Acts {
    fn admit(&mut self, rpc: RpcId) {
        self.0.push(Act::Admit(rpc));
    }
    fn reject(&mut self, rpc: RpcId, after: Span, last: bool) {
        self.0.push(Act::PushBack(rpc, after, last));
    }
    fn fail(&mut self, rpc: RpcId) {
        self.0.push(Act::Abort(rpc));
    }
    fn call(&mut self, rpc: RpcId, patience: Span) {
        self.0.push(Act::Call(rpc, patience));
    }
    fn skip_call(&mut self, rpc: RpcId) {
        self.0.push(Act::Skip(rpc));
    }
    fn preempt(&mut self, rpc: RpcId) {
        self.0.push(Act::Preempt(rpc));
    }
    fn retain_key(&mut self, rpc: RpcId, _span: Span) {
        self.0.push(Act::Keep(rpc));
    }
    fn release_key(&mut self, rpc: RpcId) {
        self.0.push(Act::Drop(rpc));
    }
    fn replay(&mut self, rpc: RpcId) {
        self.0.push(Act::Replay(rpc));
    }
    fn set_health(&mut self, good: bool) {
        self.0.push(Act::Health(good));
    }
    fn set_timer(&mut self, span: Span) {
        self.0.push(Act::Timer(span));
    }
    fn breaker_transition(&mut self, turn: BreakerTransition) {
        self.0.push(Act::Turn(turn));
    }
    fn release_id(&mut self, rpc: RpcId) {
        self.0.push(Act::Release(rpc));
    }
}
