@cluster.quick @proxied
Feature: A daemon that was its own only witness is cut off

  Guards against shards that nobody can release. While two of four daemons are frozen and therefore
  retired, the record makes each of the other two its own only witness, as in a cell of two. One of
  them is cut off at that moment. The frozen ones are resumed, the record assigns its 128 shards of
  256 to the three others, and these wait for its release, which only it can give, for as long as
  the cut lasts. The daemon that is cut off still reaches the store, knows the record and has
  released the shards, but must not report this only to peers that it cannot reach. In the fault,
  the log shows a "record-written" in which it is retired with itself as the only witness, and the
  statuses of the others show "shards are pending" and its incarnation in their "awaited_releases".

  Scenario: An owner is cut off while two others are frozen, and those are resumed
    Given callers send requests to "premview"
    When two daemons that do not own "acct-1" are frozen until they are not active in the record
    And the owner of "acct-1" is cut off from all peers
    And the two frozen daemons are resumed
    Then "acct-1" is served by another server
    And the daemon that is cut off serves nothing
    And every key of "premview" stays served for 12 seconds
    When all link faults are removed
    Then every key of "premview" is served again
    And the guarantees hold for "premview"
