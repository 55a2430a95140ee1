@mesh
Feature: Daemons, targets and the store of a users' platform as separate processes

  Scenario: A key is served by its owner, whichever daemon gets the request
    When 24 keys are requested at every daemon
    Then each key was served by the same target at all daemons
    And the targets received the requesting instance's service and a reduced deadline

  Scenario: A path without a route, and a request without an id
    Then a path without a route gets 404 and a request without an id gets 400

  Scenario Outline: An incomplete or unverifiable response is never passed to the caller: <spoil>
    When a "safe" request to the pooled service gets a response of the form "<spoil>"
    Then the caller gets <status> and no part of that response

    Examples:
      | spoil    | status |
      | short    | 502    |
      | unsigned | 502    |
      | close    | 502    |

  Scenario Outline: A response in an unusual form is passed on completely: <form>
    When a "safe" request to the pooled service gets a response of the form "<form>"
    Then the caller gets 200 and the complete response

    Examples:
      | form     |
      | unframed |
      | surplus  |

  Scenario: A request that must not be repeated runs once, though its response is lost
    When a "unsafe" request to the pooled service gets a response of the form "close"
    Then the caller gets 502 and no part of that response
    And exactly one target has run it

  Scenario: A target's statement that it did not run a request reaches the caller
    When a "unsafe" request to the pooled service gets a response of the form "refuse"
    Then the caller gets 503 and no part of that response
    And the response says when to retry

  # The second copy was taken for the response to the next send, and callers got 503 for requests
  # that ran.
  Scenario Outline: A refusal that a target sends twice does not end the next send of the request: <late_ms> ms
    When an unsafe keyed request is refused once, and the refusal is sent again <late_ms> ms later
    Then the caller gets 200 and the complete response
    And exactly one target has run it

    Examples:
      | late_ms |
      | 10      |
      | 60      |
      | 200     |

  Scenario: A long request body and a long response are transferred completely
    When a request of 200000 bytes gets a response of 300000 bytes
    Then the caller gets 200 and the complete response

  Scenario: A caller that does not read delays its response, and memory stays small
    When a caller asks for 40000000 bytes and reads nothing for 1.5 s
    Then no daemon's memory grew by more than 12 MB
    And the caller then gets every byte

  Scenario: A request is cancelled when its caller disconnects
    When a caller disconnects 0.2 s after sending a request that runs 5 s
    Then no target is running it 0.7 s later

  Scenario: A route's time-out is enforced
    When a request that would run 6 s is sent
    Then the caller gets 504 within 3.6 s

  Scenario: A newer configuration comes into force, an older or malformed one does not
    When a route "/new/" is added
    Then every daemon serves "/new/" within 2 s
    When an older and a malformed configuration are written
    Then every daemon still serves "/new/"

  Scenario: A target that drains releases its keys and gets no new requests
    When a target of the keyed service drains
    Then it holds no key after 3 s and every key is served
    And it gets no request from then on

  Scenario: A daemon that is killed restarts and its target keeps its keys
    When a daemon of the keyed service is killed and restarted
    Then every key is served again
    And its target holds the same keys as before

  Scenario Outline: Requests are served while the store has a fault: <mode>
    When the store has the fault "<mode>" for 5 s
    Then no request failed meanwhile
    And every daemon has its entry again within 3 s

    Examples:
      | mode   |
      | silent |
      | reset  |
      | busy   |
      | many   |

  Scenario: A store that discards its history and removes entries
    When the store discards its history and removes the members' entries
    Then no request failed meanwhile
    And every daemon has its entry again within 25 s

  Scenario: A planned stop aborts no request
    When a daemon is told to stop while it serves requests that run 1 s
    Then all of them are served and the daemon exits by itself with code 0
    And it reports that it is not ready after it was told to stop

  # The process ended while up to a window of each response was not written yet.
  Scenario: A daemon that is stopped completes the responses that its callers read slowly
    When a daemon is told to stop while its callers slowly read responses of several forms
    Then each caller has received every response completely
    And so has the caller that sent further requests meanwhile, at least the first one
    And the stopped daemon has ended by itself with code 0

  Scenario: A daemon that is stopped completes the responses of its target that other daemons forward slowly
    When the daemon of a key's owner is told to stop while callers of another daemon slowly read responses of several forms
    Then each caller has received every response completely
    And the stopped daemon has ended by itself with code 0

  Scenario: A request that outlasts the stop of its caller's daemon gets a response
    Given a route "/patient/" with a time-out of 20 s
    When a daemon is told to stop during a request that runs 12 s on "/patient/"
    Then the caller gets 504 and no part of that response
    And that daemon exits with code 0 and is restarted

  # The daemons that forward the request order their queues by the time left to its deadline.
  Scenario: A request that arrives at a stopping daemon has no more time than that daemon
    Given a route "/patient/" with a time-out of 20 s
    When a request on "/patient/" with a deadline of 20 s arrives 1 s after a daemon was told to stop
    Then it is served, and its target received a deadline between 4 s and 4.7 s
    And that daemon exits with code 0 and is restarted

  Scenario: A planned stop aborts no request from other daemons, though the target's keys cannot be moved
    When the store is unavailable and a daemon with keys is told to stop during requests that run 1 s
    Then every request that its target ran got its complete response

  Scenario: A planned stop aborts no request that arrives while the daemon waits for the store
    When the store is unavailable and a daemon with keys is told to stop during short requests with pauses
    Then every request that its target ran got its complete response

  Scenario: A daemon reports its metrics, and why a request failed
    When a "safe" request to the pooled service gets a response of the form "short"
    Then the logs give the target and the reason under its request id
    And the metrics of its daemon count it by route and outcome
    And they count the bytes of request heads to daemons in a known failure domain

  # In the kernel's buffer the request precedes the end of its connection, so that the daemon reads
  # the request before it sees that the caller has disconnected.
  Scenario: A daemon that was suspended forwards nothing for callers that have disconnected
    When a daemon is suspended, 20 callers send requests to it and disconnect, and it resumes
    Then no target has run any of them
    And its logs say that each caller had disconnected

  Scenario: A failure domain that operators drain gets no requests until they end the drain
    When the failure domain of a keyed target is drained and 1.5 s have passed
    Then no target there gets any of 100 requests and every key is served elsewhere
    When the drain is ended
    Then every target there holds keys again within 6 s

  Scenario: A target that becomes cold gets a limited rate, and the others the rest
    When a target of the pooled service becomes cold and 60 requests a second arrive for 2 s
    Then it got at most 5 of them in any second
    And all of them were served
