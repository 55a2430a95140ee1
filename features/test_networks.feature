Feature: Test clusters use separate loopback networks

  Two clusters that run at once could choose the same loopback network, as each derived it from a
  process id. The second cluster then wrote its rows to the first one's store, and none of its
  daemons could listen. As the rows named another number of servers, three instead of four, the
  first cluster's cell was never ready again after a daemon was replaced.

  Scenario: Two clusters that run at once never share a network
    When two loopback networks are claimed at once
    Then they differ
    And a network that was released can be claimed again
