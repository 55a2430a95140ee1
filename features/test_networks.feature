Feature: Test clusters use separate loopback networks

  Guards against two clusters that run at once and choose the same loopback network, as each derives
  it from a process id. The second cluster then writes its rows to the first one's store, and none
  of its daemons can listen. As the rows name another number of servers, three instead of four, the
  first cluster's cell is never ready again after a daemon is replaced.

  Scenario: Two clusters that run at once never share a network
    When two loopback networks are claimed at once
    Then they differ
    And a network that was released can be claimed again
