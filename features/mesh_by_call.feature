@mesh @by_call
Feature: Daemons beside targets that take their keys by calls, as separate processes

  Scenario: Whichever daemon is asked, a key is served by its one owner
    When 24 keys are asked for at every daemon
    Then each key was served by one target, at all daemons

  Scenario: A target that drains gives its keys up and gets no new requests
    When a target of the keyed service drains
    Then it holds no key after 3 s and every key is served
    And it gets no request from then on

  Scenario: A daemon that is killed comes back and its target keeps its keys
    When a daemon beside the keyed service is killed and started again
    Then every key is served again
    And its target holds the keys that it held

  Scenario: A store that is away is not needed
    When the store is "silent" for 5 s
    Then no request failed meanwhile
    And every daemon has its entry again within 3 s

  Scenario: Grants that go unanswered and are taken late
    When every target takes its next 4 grants late and unanswered
    Then every key is served again
    And the logs tell which grants were not answered

  Scenario: A refused request for a key is followed from its id to the target
    When a key is asked for while its target does not hold it
    Then the logs lead from its id to the grant that is missing
