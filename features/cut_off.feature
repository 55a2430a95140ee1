@cluster.trio @proxied
Feature: A daemon of three that is cut off from its peers harms nobody, while it reaches the store

  One of three daemons was cut off from the others and still reached the platform's store. It took
  the coordinator's role 1.3 s later, heard nobody but itself, counted its own word and the absence
  of each other daemon as two of that one's three witnesses, wrote that both were lost and that all
  keys were its own, and could not serve one of them, since nobody renewed its lease. The other two
  took the role back and undid it, and so on every few seconds: in 25 s not one of 62 requests at
  the two sound daemons was served. The log shows "coordinator-role-taken" at the cut one, then a
  "record-written" in which it is the only active member.

  Scenario: Keys are served by the other two for as long as one is cut off
    Given callers send requests to "premview"
    When the owner of "acct-1" is cut off from all peers
    Then "acct-1" is served by another server
    And the daemon that is cut off serves nothing
    And every key of "premview" stays served for 12 seconds
    When all links are mended
    Then every key of "premview" is served again
    And the promises hold for "premview"

  Scenario: The coordinator is the one that is cut off
    Given callers send requests to "premview"
    When the coordinator of "premview" is cut off from all peers
    Then every key of "premview" is served again
    And every key of "premview" stays served for 8 seconds
    When all links are mended
    Then every key of "premview" is served again
    And the promises hold for "premview"

  # It reaches all others, so none of its witnesses misses it; no answer reaches it, so it has no
  # lease. It went on being an owner that serves nothing: of 118 requests in 12 s, 20 were not
  # served later than 3 s after the cut. The status shows it: active, 64 shards, "no ownership
  # lease", at the record's first version.
  Scenario: A daemon that no peer can reach hands its keys over
    Given callers send requests to "premview"
    When the links towards the owner of "acct-1" are cut
    Then "acct-1" is served by another server
    And every key of "premview" stays served for 6 seconds
    When all links are mended
    Then every key of "premview" is served again
    And the promises hold for "premview"
