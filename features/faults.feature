@cluster.quick @proxied
Feature: Sole ownership while daemons, servers, links and the platform fail

  Scenario: A killed daemon's keys are served again by others
    Given callers send requests to "premview"
    When the daemon of the owner of "acct-1" is killed
    Then "acct-1" is served by another server
    And the guarantees hold for "premview"

  Scenario: The coordinator is killed along with its keys
    Given callers send requests to "premview"
    When the daemon that coordinates "premview" is killed
    Then every key of "premview" is served again
    And the guarantees hold for "premview"

  Scenario: The keys of a killed server move while its daemon keeps running
    Given callers send requests to "premview"
    When the server of the owner of "acct-1" is killed
    Then "acct-1" is served by another server
    And the guarantees hold for "premview"

  Scenario: A frozen daemon loses its keys and violates no guarantee when it is resumed
    Given callers send requests to "premview"
    When the daemon of the owner of "acct-1" is frozen
    Then "acct-1" is served by another server
    When the frozen processes are resumed
    Then every key of "premview" is served again
    And the guarantees hold for "premview"

  Scenario: A daemon and its server are frozen together and resumed
    Given callers send requests to "premview"
    When the daemon and the server of the owner of "acct-1" are frozen
    Then "acct-1" is served by another server
    When the frozen processes are resumed
    Then every key of "premview" is served again
    And the guarantees hold for "premview"

  Scenario: A daemon cut off from its peers serves nothing
    Given callers send requests to "premview"
    When the owner of "acct-1" is cut off from all peers
    Then "acct-1" is served by another server
    And the daemon that is cut off serves nothing
    When all link faults are removed
    Then every key of "premview" is served again
    And the guarantees hold for "premview"

  Scenario: Links that stall without closing
    Given callers send requests to "premview"
    When the links of the owner of "acct-1" stall without closing
    Then "acct-1" is served by another server
    When all link faults are removed
    Then every key of "premview" is served again
    And the guarantees hold for "premview"

  Scenario: Links that delay and corrupt data
    Given callers send requests to "premview"
    When the links of the owner of "acct-1" delay by 30 ms
    And the links towards the owner of "acct-2" corrupt data
    And 1 second passes
    And all link faults are removed
    Then every key of "premview" is served again
    And the guarantees hold for "premview"

  Scenario: Owned keys stay served while the platform is down
    Given callers send requests to "premview"
    When the platform is down
    And 2 seconds pass
    Then every key of "premview" is served again
    And the command "set premview limit=7" fails with exit code 3
    When the platform is up again
    Then the command "set premview limit=8 --wait" succeeds
    And no request to "premview" failed meanwhile
    And the guarantees hold for "premview"

  Scenario: A daemon is lost while the platform is down
    Given callers send requests to "premview"
    When the platform is down
    And the daemon of the owner of "acct-1" is killed
    And 2 seconds pass
    Then "acct-1" is not served
    When the platform is up again
    Then "acct-1" is served by another server
    And the guarantees hold for "premview"

  Scenario: The response to the write that moves keys is lost
    Given callers send requests to "premview"
    When the platform loses the next 2 responses to writes
    And the daemon of the owner of "acct-1" is killed
    Then "acct-1" is served by another server
    And the guarantees hold for "premview"

  Scenario: A planned stop hands keys over without a failed request
    Given callers send requests to "premview"
    When the daemon of the owner of "acct-1" is stopped as planned
    Then that daemon ends with exit code 0
    And no request to "premview" failed meanwhile
    And the guarantees hold for "premview"

  Scenario: Every daemon is replaced, one after the other
    Given callers send requests to "premview"
    When every daemon of "premview" is stopped as planned and started again
    Then no request to "premview" failed meanwhile
    And the guarantees hold for "premview"

  Scenario: The whole cell is killed and started again
    When every daemon of "premview" is killed and started again
    Then every key of "premview" is served again
    And the guarantees hold for "premview"

  Scenario: An operator releases servers that cannot release their keys themselves
    When the daemons of three servers of "premview" are killed
    Then no key is served before the three are released
    When the operator releases each of the three
    Then every key of "premview" is served by the fourth
