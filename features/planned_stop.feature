Feature: What a daemon on a users' platform waits for before it exits

  Virtual time and no sockets, but for the log's pipe; the control plane and the target are stand-ins.

  Scenario: A daemon with idle connections only exits once callers have been rerouted
    Given a daemon with an idle connection of a caller and one of another daemon
    When it is told to stop
    Then it exits between 2.4 s and 2.6 s after that

  # Callers, and the daemons that forward their requests, got only the start of long responses.
  Scenario Outline: Output that is not written yet delays the exit until it is: <output>
    Given a daemon with output: <output>
    When it is told to stop, and the output is written 4 s later
    Then it exits between 4 s and 4.2 s after that

    Examples:
      | output                                                       |
      | a response that a caller has not read                        |
      | a response that a caller's kernel has not acknowledged       |
      | a response to a heartbeat that the target has not read       |
      | a response to an operator that is not read                   |
      | a response to another daemon that exceeds its window         |
      | a response to another daemon that the connection has not sent |

  Scenario Outline: Output that is never written delays the exit up to the limit: <output>
    Given a daemon with output: <output>
    When it is told to stop
    Then it exits between 5.6 s and 5.7 s after that
    And the log names what was left

    Examples:
      | output                                               |
      | a response that a caller has not read                |
      | a response to an operator that is not read           |
      | a response to another daemon that exceeds its window |

  # The last response was lost with the process, or reset as the other daemon had sent more meanwhile.
  Scenario: A daemon exits after the other daemons have closed their connections
    Given a daemon that responds to another daemon just before it refuses requests
    When it is told to stop, and the other daemon closes its connection 0.5 s after the notice
    Then it exits when the connection is closed

  Scenario: A daemon that was suspended after a response does not hold the exit
    Given a daemon that responds to another daemon just before it refuses requests
    When it is told to stop, and the other daemon never closes its connection
    Then it exits between 2.4 s and 4.1 s after that

  # It stayed open for good: reading had ended, and nothing wrote to it any more.
  Scenario: A connection to another daemon with much output closes once it is written
    Given a connection to another daemon whose output fills the transport
    When it is closed and the output is written
    Then the transport has closed

  # The refusal of a request that was read last was dropped, and its caller did not know that it had
  # not run.
  Scenario: Output of the event loop's last iteration is written before the process ends
    Given a response to a caller that the event loop has not written yet
    When the reactor stops
    Then the caller has received the response

  # The last lines, which say how the daemon ended, were lost with the process.
  Scenario Outline: The last log lines wait for their reader, if it reads in time: <reader>
    Given a log whose reader is behind by a full pipe
    When the process ends and the reader <reader>
    Then <lines> last line was received, and without a reader the process waited for at most 0.2 s

    Examples:
      | reader          | lines |
      | reads on        | the   |
      | does not read   | no    |
      | closes its end  | no    |
