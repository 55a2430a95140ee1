@cluster.trio @proxied
Feature: A daemon of three that is cut off from its peers, but reaches the store, does not disturb the others

  Guards against a daemon that is cut off from the others, still reaches the platform's store and
  takes the coordinator's role. It hears only itself, counts its own vote and the absence of each
  other daemon as two of that daemon's three witnesses, and writes that both are lost and that it
  owns all keys. It cannot serve them, since nobody renews its lease. The other two take the role
  back and undo the change, and this repeats every few seconds, so that the two sound daemons serve
  no request either. The log then shows "coordinator-role-taken" at the daemon that is cut off, and
  a "record-written" in which it is the only active member.

  Scenario: Keys are served by the other two for as long as one is cut off
    Given callers send requests to "premview"
    When the owner of "acct-1" is cut off from all peers
    Then "acct-1" is served by another server
    And the daemon that is cut off serves nothing
    And every key of "premview" stays served for 12 seconds
    When all link faults are removed
    Then every key of "premview" is served again
    And the guarantees hold for "premview"

  Scenario: The coordinator is the one that is cut off
    Given callers send requests to "premview"
    When the coordinator of "premview" is cut off from all peers
    Then every key of "premview" is served again
    And every key of "premview" stays served for 8 seconds
    When all link faults are removed
    Then every key of "premview" is served again
    And the guarantees hold for "premview"

  # Guards against an owner that serves nothing for as long as the cut lasts. Its messages reach all
  # others, so none of its witnesses reports it missing; no reply reaches it, so it has no lease.
  # Its status then shows it as active with 64 shards and "no ownership lease", at the record's
  # first version.
  Scenario: A daemon that no peer can reach hands its keys over
    Given callers send requests to "premview"
    When the links towards the owner of "acct-1" are cut
    Then "acct-1" is served by another server
    And every key of "premview" stays served for 6 seconds
    When all link faults are removed
    Then every key of "premview" is served again
    And the guarantees hold for "premview"
