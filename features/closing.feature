Feature: A daemon that ends neither runs, nor cuts, nor loses what it still receives

  Requests of peers with an old record, and of callers with open connections, arrive until the
  process has ended. Virtual time, no sockets; the control plane and the server are stand-ins.

  # Ran, and was cut when the process exited: the daemon handed it to the server after its decision.
  Scenario: A request in the turn in which the daemon decides to end is not run
    Given a daemon and a peer that is connected
    When the daemon is stopped as planned and decides to end
    And the peer sends a request that arrives in the same turn
    Then the server has received no request after the decision
    And each request of the peer has ended "not-run" because of "draining"

  # Lost its connection: the process exited 50 ms after the decision, whatever it had not read.
  Scenario: A request in the socket's buffer when the notice is sent is refused
    Given a daemon and a peer that is connected
    When the peer sends a request that stays in the socket's buffer
    And the daemon is stopped as planned and decides to end
    And nothing happens for 0.3 s
    Then the daemon has not ended
    When all data arrives and 0.1 s pass
    Then the server has received no request after the decision
    And each request of the peer has ended "not-run" because of "draining"
    And the peer has closed the connection
    And the daemon has ended

  # Lost its connection: the peer did not know that the daemon would exit.
  Scenario: A peer that has got the notice sends nothing more
    Given a daemon and a peer that is connected
    When the daemon is stopped as planned and decides to end
    And all data arrives and 0.1 s pass
    And the peer sends a request that arrives at once
    Then each request of the peer has ended "not-run" because of "unreachable"
    And the peer has closed the connection
    And the daemon has ended

  # Was cut: the peer opened another request on a connection that was about to close.
  Scenario: A peer that has got the notice waits for the responses that are due
    Given a connection to another daemon without open streams
    And two requests were sent on it
    When the other daemon sends the notice that it closes
    Then the connection accepts no further request and is open
    When the other daemon responds to both requests
    Then the connection was closed after the second response

  # Waited until its deadline: the link neither sent the request nor dialled again.
  Scenario: A request for a daemon whose connection closes fails at once as unreachable
    Given a daemon and a peer that is connected
    And a request of the peer that runs
    When the notice of the daemon arrives before the response
    And the peer sends a request that arrives at once
    Then the last request of the peer has ended "not-run" because of "unreachable"
    And a control message is sent on that connection, not to the next daemon at the address
    When the server responds to the request that runs
    Then the first request of the peer has ended "served"

  # The record of a daemon that had ended changed once more.
  Scenario: A control message after the decision has no effect
    Given a daemon and a peer that is connected
    When the daemon is stopped as planned and decides to end
    And the peer sends a control message that arrives in the same turn
    Then the control plane has got no message

  # The earlier version replies to the notice as to a ping and goes on sending requests.
  Scenario: A peer of an earlier version that ignores the notice is refused until the time limit
    Given a daemon and a peer of an earlier version that is connected
    When the daemon is stopped as planned and decides to end
    And the peer sends a request every 0.02 s for 0.44 s
    Then the daemon has not ended
    And each request of the peer has ended "not-run" because of "draining"
    And the server has received no request after the decision
    When nothing happens for 0.2 s
    Then the daemon has ended

  # The greeting of a daemon that ends invited requests.
  Scenario: A connection that is opened after the decision ends before the greeting
    Given a daemon and a peer that is connected
    When the daemon is stopped as planned and decides to end
    Then a connection to its peer port is closed without a greeting
    And the peer port is held, the callers' port is not

  # Was cut: the end of a long response waited for the peer to read when the process exited.
  Scenario: A response that a slow peer has not read completely delays the end
    Given a daemon and a peer that is connected
    And a request of the peer that runs
    When the server responds with 300000 bytes, and the peer does not read
    And the daemon is stopped as planned and 3 s pass
    Then the daemon has not decided to end
    When all data arrives and 1 s pass
    Then the first request of the peer has ended "served"
    And the daemon has ended

  # Got no response: the process exited under everything that waited.
  Scenario Outline: A request that <waits> when the drain's time limit passes is refused
    Given a daemon and a peer that is connected
    And a request of the peer that <waits>
    When the daemon is stopped as planned and the time limit passes
    And all data arrives and 0.1 s pass
    Then each request of the peer has ended "not-run" because of "draining"
    And the server receives none of them even if what they waited for comes
    And the daemon has ended

    Examples:
      | waits                               |
      | waits for its shard                 |
      | waits for a connection to the server |
      | has sent half of its body           |

  # Lost its connection, although its daemon knew that it may have run.
  Scenario: A request that runs when the drain's time limit passes ends with a response
    Given a daemon and a peer that is connected
    And a request of the peer that runs
    And a second request that waits for the only slot
    When the daemon is stopped as planned and the time limit passes
    And all data arrives and 0.1 s pass
    Then the first request of the peer has ended "unknown" because of "draining"
    And the last request of the peer has ended "not-run" because of "draining"
    And the server has received no request after the decision
    And no end of a run was reported, as that would release its shard
    And the daemon has ended

  # Was cut, or waited for a service that nobody looked up any more.
  Scenario: A caller's request on an open connection after the decision is refused
    Given a daemon and a peer that is connected
    And a caller with an open connection
    When the daemon is stopped as planned and decides to end
    And the caller sends a request on its connection
    Then the caller gets a 503 "not-run" with a retry delay, and its connection closes after it

  # Was cut: the process exited before the caller had read the whole response.
  Scenario: A response that a caller has not read yet delays the end
    Given a daemon and a peer that is connected
    And a caller with an open connection
    When the daemon is stopped as planned and decides to end
    And the caller sends a request on its connection
    And the peer closes its connection and 0.3 s pass
    Then the daemon has not ended
    When all data arrives and 0.1 s pass
    Then the daemon has ended

  # Was cut: the request counted as ended once its response was handed to the connection.
  Scenario: A response that is not written to its caller yet delays the decision to end
    Given a daemon and a peer that is connected
    And a caller with an open connection, which has output that is not written
    When the daemon is stopped as planned and 3 s pass
    Then the daemon has not decided to end
    When the output is written, all data arrives and 1 s pass
    Then the daemon has ended

  # Lost its connection, although its daemon knew that it may have run.
  Scenario: A caller's request that runs when the drain's time limit passes ends with a response
    Given a daemon and a peer that is connected
    And a caller with an open connection
    When the caller sends a request on its connection
    And the daemon is stopped as planned and the time limit passes
    And all data arrives and 0.1 s pass
    Then the caller gets a 502 "unknown", and its connection closes after it
    And the server has received no request after the decision
    And the daemon has ended

  # Lost its connection: the body was still on its way when the process exited.
  Scenario: A caller's request whose body is late is answered before the end
    Given a daemon and a peer that is connected
    And a caller with an open connection
    When the daemon is stopped as planned and decides to end
    And the caller sends a request without the end of its body
    And all data arrives and 1 s pass
    Then the caller gets a 503 "not-run" with a retry delay, and its connection closes after it
    And the daemon has ended
