Feature: A connection between daemons that has died without a word is given up

  Scenario: Control messages alone show that the other end is gone
    Given a connection to another daemon without open streams
    When a control message is sent every 0.4 s and nothing comes back for 2.2 s
    Then the connection was aborted

  Scenario: A peer that answers pings keeps its connection
    Given a connection to another daemon without open streams
    When a control message is sent every 0.4 s and pings are answered for 6 s
    Then the connection is up

  Scenario: A connection on which nothing is sent may rest
    Given a connection to another daemon without open streams
    When nothing is sent and nothing comes back for 60 s
    Then the connection is up

  Scenario: A connection that never greets is given up
    Given a connection to another daemon that has not greeted
    When nothing is sent and nothing comes back for 2.2 s
    Then the connection was aborted
