@0xd1f6c0a7b3e94852;
# Datagrams between balancers and agents. On the wire, one such message is followed
# by its message authentication code.

struct Endpoint {
  host @0 :Text;
  port @1 :UInt16;
}

struct Forward {
  # A caller's datagram on its way to the agent that owns its flow.
  service @0 :Text;
  caller @1 :Endpoint;
  balancer @2 :Endpoint;      # where answers to the caller are sent
  agent @3 :Text;             # the agent that this datagram is addressed to
  incarnation @4 :UInt64;     # incarnation of that agent
  visited @5 :List(Text);     # agents that have replied that they do not own the flow
  pending @6 :List(Text);     # agents known to a visited one, but not asked yet
  offerLoad @7 :Int32 = -1;   # load of the agent that offers a new flow
  returned @8 :Bool;          # the offer was declined
  payload @9 :Data;
}

struct Answer {
  # A datagram from an agent on its way back to a caller.
  service @0 :Text;
  caller @1 :Endpoint;
  payload @2 :Data;
}

struct Datagram {
  sender @0 :Text;
  incarnation @1 :UInt64;
  union {
    forward @2 :Forward;
    answer @3 :Answer;
    control @4 :Data;         # a control message, see control.py
  }
}
