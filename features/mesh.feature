@mesh
Feature: Daemons, targets and the store of a users' platform as separate processes

  Scenario: Whichever daemon is asked, a key is served by its one owner
    When 24 keys are asked for at every daemon
    Then each key was served by one target, at all daemons
    And the targets saw the asking instance's service and a deadline that shrinks

  Scenario: A path of no route, and a request without an id
    Then a path of no route gets 404 and a request without an id gets 400

  Scenario Outline: An answer that is not the target's whole answer never counts as one: <spoil>
    When a "safe" request to the pooled service is answered "<spoil>"
    Then the caller gets <status> and no part of that answer

    Examples:
      | spoil    | status |
      | short    | 502    |
      | unsigned | 502    |
      | close    | 502    |

  Scenario Outline: An answer in an unusual form is the target's whole answer: <form>
    When a "safe" request to the pooled service is answered "<form>"
    Then the caller gets 200 and the whole answer

    Examples:
      | form     |
      | unframed |
      | surplus  |

  Scenario: A request that must not be repeated runs once, though its answer is lost
    When a "unsafe" request to the pooled service is answered "close"
    Then the caller gets 502 and no part of that answer
    And exactly one target has run it

  Scenario: A target's word that it did not run a request is passed on as a promise
    When a "unsafe" request to the pooled service is answered "refuse"
    Then the caller gets 503 and no part of that answer
    And the answer says when to come back

  Scenario: A long body and a long answer pass whole
    When 200000 bytes are sent and 300000 bytes come back
    Then the caller gets 200 and the whole answer

  Scenario: A caller that does not read holds the answer up, and memory stays small
    When a caller asks for 40000000 bytes and reads nothing for 1.5 s
    Then no daemon's memory grew by more than 12 MB
    And the caller then gets every byte

  Scenario: A caller that leaves takes its work along
    When a caller leaves after 0.2 s of a request that runs 5 s
    Then no target works on it 0.7 s later

  Scenario: A route's time-out is kept
    When a request that would run 6 s is sent
    Then the caller gets 504 within 3.6 s

  Scenario: A newer configuration is in force, an older or broken one is not
    When a route "/new/" is added
    Then every daemon serves "/new/" within 2 s
    When an older and a broken configuration are written
    Then every daemon still serves "/new/"

  Scenario: A target that drains gives its keys up and gets no new requests
    When a target of the keyed service drains
    Then it holds no key after 3 s and every key is served
    And it gets no request from then on

  Scenario: A daemon that is killed comes back and its target keeps its keys
    When a daemon beside the keyed service is killed and started again
    Then every key is served again
    And its target holds the keys that it held

  Scenario Outline: A store that is away is not needed: <mode>
    When the store is "<mode>" for 5 s
    Then no request failed meanwhile
    And every daemon has its entry again within 3 s

    Examples:
      | mode   |
      | silent |
      | reset  |
      | busy   |
      | many   |

  Scenario: A store that forgets its history and takes entries away
    When the store forgets its history and takes the members' entries away
    Then no request failed meanwhile
    And every daemon has its entry again within 25 s

  Scenario: A planned stop cuts no request
    When a daemon is told to stop while it serves requests of 1 s
    Then all of them are answered and it ends by itself with 0
    And it is not ready from then on

  Scenario: A request that outlasts the stop of its caller's daemon gets an answer
    Given a route "/patient/" whose requests may take 20 s
    When a daemon is told to stop under a request of 12 s on "/patient/"
    Then the caller gets 504 and no part of that answer
    And that daemon ends with exit code 0 and is started again

  # The daemons on its way order what they have by the time that is left.
  Scenario: A request that comes to a stopping daemon has no more time than that daemon
    Given a route "/patient/" whose requests may take 20 s
    When a request on "/patient/" that may take 20 s comes 1 s after a daemon was told to stop
    Then it is answered, and its target was given between 4 s and 4.7 s
    And that daemon ends with exit code 0 and is started again

  Scenario: A planned stop cuts no request of others, though the target's keys cannot be moved
    When the store is away and a daemon with keys is told to stop under requests of 1 s
    Then every request that its target ran was answered whole

  Scenario: A planned stop cuts no request that comes while the store is waited for
    When the store is away and a daemon with keys is told to stop under short requests with pauses
    Then every request that its target ran was answered whole

  Scenario: A daemon tells its figures, and why a request failed
    When a "safe" request to the pooled service is answered "short"
    Then the logs lead from its id to the target and the reason
    And the metrics of its daemon count it by route and outcome

  # The request stands before the end of its connection in the kernel's buffer.
  Scenario: A daemon that stood still sends nothing on for callers that have left
    When a daemon is frozen, 20 callers send requests to it and leave, and it goes on
    Then no target has run any of them
    And its logs say that each caller had left

  Scenario: A failure domain that operators drain gets nothing until they take it back
    When the failure domain of a keyed target is drained and 1.5 s have passed
    Then no target there gets any of 100 requests and every key is served elsewhere
    When the drain is taken back
    Then every target there holds keys again within 6 s

  Scenario: A target that turns cold gets what it bears, and the others the rest
    When a target of the pooled service turns cold and 60 requests a second come for 2 s
    Then it got at most 5 of them in any second
    And all of them were served
