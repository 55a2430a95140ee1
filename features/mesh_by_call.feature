@mesh @by_call
Feature: Daemons with targets that take their keys by calls, as separate processes

  Scenario: A key is served by its owner, whichever daemon gets the request
    When 24 keys are requested at every daemon
    Then each key was served by the same target at all daemons

  Scenario: A target that drains releases its keys and gets no new requests
    When a target of the keyed service drains
    Then it holds no key after 3 s and every key is served
    And it gets no request from then on

  Scenario: A daemon that is killed restarts and its target keeps its keys
    When a daemon of the keyed service is killed and restarted
    Then every key is served again
    And its target holds the same keys as before

  Scenario: Requests are served while the store has a fault
    When the store has the fault "silent" for 5 s
    Then no request failed meanwhile
    And every daemon has its entry again within 3 s

  Scenario: Grants that get no reply and are taken late
    When every target takes its next 4 grants late and without a reply
    Then every key is served again
    And the logs say which grants got no reply

  Scenario: The logs lead from the id of a refused request to its target
    When a key is requested while its target does not hold it
    Then the logs give the missing grant under its request id
