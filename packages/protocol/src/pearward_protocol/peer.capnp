# Messages between pearward daemons. The framing is defined in frames.py. Only heads and
# control messages use Cap'n Proto; bodies are sent as raw bytes.
@0xb3f0c1a5d7e94c21;

struct Hello {
  protocol @0 :UInt16;
  incarnation @1 :Text;
  address @2 :Text;
  sentMs @3 :UInt64;
  readsCompressed @4 :Bool;
}

struct RequestHead {
  service @0 :Text;
  key @1 :Data;
  requestId @2 :Data;
  method @3 :Data;
  path @4 :Data;
  headers @5 :Data;
  deadlineMs @6 :UInt32;
  requestClass @7 :UInt8;
  tenant @8 :Text;
  repeatable @9 :Bool;
  priorAgeMs @10 :UInt32;
  version @11 :UInt64;
  taskId @12 :Text;
  position @13 :UInt64;
  bodyLength @14 :Int64;
  target @15 :Text;
  rank @16 :UInt8;
  objectiveMs @17 :UInt32;
  callerService @18 :Text;
  lastTarget @19 :Bool;
  route @20 :Text;
  idleOnly @21 :Bool;
  sentMs @22 :UInt64;
}

struct ResponseHead {
  status @0 :UInt16;
  outcome @1 :UInt8;
  reason @2 :Text;
  headers @3 :Data;
  retryAfterMs @4 :UInt32;
  version @5 :UInt64;
  detail @6 :Text;
  bodyLength @7 :Int64;
  running @8 :UInt16;
  waiting @9 :UInt16;
  slots @10 :UInt16;
  serviceUs @11 :UInt32;
  linkMs @12 :UInt32;
  targetLeaves @13 :Bool;
}

struct HeldRow {
  first @0 :UInt32;
  last @1 :UInt32;
  fence @2 :UInt64;
}

struct ReleasedRow {
  first @0 :UInt32;
  last @1 :UInt32;
  token @2 :Text;
}

struct KeyCount {
  first @0 :UInt32;
  last @1 :UInt32;
  count @2 :UInt32;
}

struct EntryChange {
  key @0 :Text;
  revision @1 :UInt64;
  gone @2 :Bool;
  value @3 :Data;
}

struct VersionedKey {
  key @0 :Text;
  version @1 :UInt64;
}

struct Control {
  union {
    renew :group {
      cell @0 :Text;
      nonce @1 :UInt64;
      adopted @2 :UInt64;
      released @3 :UInt64;
      tableVersion @4 :UInt64;
      owner @64 :Text;
    }
    renewReply :group {
      cell @5 :Text;
      nonce @6 :UInt64;
      owner @43 :Text;
      granted @7 :Bool;
      version @8 :UInt64;
    }
    askRelease :group {
      cell @9 :Text;
      owner @10 :Text;
      version @11 :UInt64;
    }
    releaseReply :group {
      cell @12 :Text;
      owner @13 :Text;
      version @14 :UInt64;
      released @15 :Bool;
      known @16 :UInt64;
      remainingMs @17 :UInt32;
    }
    released :group {
      cell @18 :Text;
      version @19 :UInt64;
    }
    heartbeat :group {
      cell @20 :Text;
      instance @21 :Text;
      server @22 :Text;
      failureDomain @23 :Text;
      caller @24 :Text;
      adopted @25 :UInt64;
      settled @26 :UInt64;
      released @27 :UInt64;
      tableVersion @28 :UInt64;
      draining @29 :Bool;
      healthy @30 :Bool;
      running @31 :UInt32;
      silent @32 :List(Text);
      stopping @82 :Bool;
    }
    heartbeatReply :group {
      cell @33 :Text;
      coordinating @34 :Bool;
      version @35 :UInt64;
    }
    digest :group {
      fingerprint @36 :UInt64;
      full @42 :Bool;
      entries @37 :List(VersionedKey);
    }
    pull :group {
      keys @38 :List(Text);
      held @72 :UInt64;
    }
    pushChange :group {
      key @73 :Text;
      base @74 :UInt64;
      version @75 :UInt64;
      value @76 :Data;
    }
    push :group {
      key @39 :Text;
      version @40 :UInt64;
      value @41 :Data;
    }
    announce :group {
      key @44 :Text;
      version @45 :UInt64;
    }
    keyReport :group {
      service @46 :Text;
      target @47 :Text;
      version @48 :UInt64;
      capacity @49 :Float64;
      draining @50 :Bool;
      ended @51 :List(Text);
      confirmed @52 :List(HeldRow);
      counts @53 :List(KeyCount);
      limited @81 :Bool;
    }
    askKeys :group {
      service @54 :Text;
      target @55 :Text;
      fence @56 :UInt64;
      first @57 :UInt32;
      last @58 :UInt32;
      version @59 :UInt64;
    }
    keysLetGo :group {
      service @60 :Text;
      target @61 :Text;
      fence @62 :UInt64;
      rows @63 :List(ReleasedRow);
    }
    askChanges :group {
      nonce @65 :UInt64;
      after @66 :UInt64;
    }
    tellChanges :group {
      nonce @67 :UInt64;
      follows @68 :Bool;
      known @69 :Bool;
      revision @70 :UInt64;
      changes @71 :List(EntryChange);
      drainsRevision @77 :UInt64;
      drained @78 :List(Text);
    }
    targetCrashed :group {
      target @79 :Text;
      contents @80 :List(Text);
    }
    targetDeparted :group {
      instance @83 :Text;
      entry @84 :Data;
    }
    askDeparture :group {
      instance @85 :Text;
    }
  }
}
