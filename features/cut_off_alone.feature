@cluster.quick @proxied
Feature: A daemon that was its own only witness is cut off

  While two of four daemons were given up (frozen), the record made each of the other two its own
  only witness, as a cell of two has it. One of them was cut off at that moment. The frozen ones
  came back, the record gave its 128 shards of 256 to the three others, and these waited for its
  release, which nobody but itself could give: for as long as the cut lasted. The daemon that was
  cut off still reached the store, knew the record and had given the shards up, but told only the
  peers that it could not reach. The log shows a "record-written" in which it is retired with itself as
  the only witness, the statuses of the others "shards are pending" and its incarnation in their
  "awaited_releases".

  Scenario: An owner is cut off while two others are away, and those return
    Given callers send requests to "premview"
    When two daemons that do not own "acct-1" are frozen until the record gives them up
    And the owner of "acct-1" is cut off from all peers
    And the frozen ones go on
    Then "acct-1" is served by another server
    And the daemon that is cut off serves nothing
    And every key of "premview" stays served for 12 seconds
    When all links are mended
    Then every key of "premview" is served again
    And the promises hold for "premview"
