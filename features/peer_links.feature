Feature: A dead connection between daemons is aborted even if it was never closed

  Scenario: Control messages alone are enough to detect that the other end is gone
    Given a connection to another daemon without open streams
    When a control message is sent every 0.4 s and nothing is received for 2.2 s
    Then the connection was aborted

  Scenario: A peer that answers pings keeps its connection
    Given a connection to another daemon without open streams
    When a control message is sent every 0.4 s and pings are answered for 6 s
    Then the connection is up

  Scenario: A connection on which nothing is sent may stay silent
    Given a connection to another daemon without open streams
    When nothing is sent and nothing is received for 60 s
    Then the connection is up

  # The check ran before the data that had arrived during the pause was read, and aborted every
  # connection on which data was expected, with the requests on it.
  Scenario: A daemon that stood still does not count its own pause as silence of the other end
    Given a connection to another daemon without open streams
    When a control message is sent and this daemon stands still for 5 s
    Then the connection is up
    When a control message is sent every 0.4 s and nothing is received for 2.2 s
    Then the connection was aborted

  # A daemon that was started again got no replies for up to 1 s, and took the coordinator's role
  # from a holder that was working.
  Scenario: A daemon that was started again is connected to as soon as it connects itself
    Given a daemon that has failed to connect to "127.0.0.1:2" for 3 s
    When the daemon at "127.0.0.1:2" greets it on a connection of its own
    And a control message is sent to "127.0.0.1:2"
    Then it connects to "127.0.0.1:2" at once

  Scenario: A connection without a greeting is aborted
    Given a connection to another daemon that has not sent a greeting
    When nothing is sent and nothing is received for 2.2 s
    Then the connection was aborted
