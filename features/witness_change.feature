Feature: Two owners of a key are impossible while witness sets change

  Found by the state machine of ownership (seed 3, 3,000 examples), once an owner could be cut off
  while others were frozen: an owner of three was leaving while a request of its ran, the record
  changed its witnesses from all three to itself alone, by way of a version in which both sets
  count, and the owner confirmed that one and was cut off. The other two had heard of neither
  version. By the one that they acted on a majority of the three was enough: they released the
  owner, and one served the key while the owner, whose lease only itself renewed, still ran the
  request. In the replay the stored record is at version 6, the owner acts on it, and both others
  count votes for version 4.

  Scenario: The owner's former witnesses have not heard that they are none any more
    Given a cell of 3 daemons, of which the first runs requests and is leaving
    And the first coordinates, over and over
    When one other is frozen until the record gives it up, the first is cut off, and the other goes on
    Then for 3 seconds no key has two that can act on it

  Scenario: A former set counts until the owner has given up what was taken
    Given an owner whose witnesses are being changed from "a b c" to "a"
    When the owner reports that it has given up what an older record took
    Then the former witnesses count still
    When the owner reports that it has given up what this record took
    Then the former witnesses count no more

  Scenario: Former witnesses that have all ended hold nobody up
    Given a cell of 3 daemons that serves every key
    When both others end for good, as an operator says
    Then within 3 seconds the first serves every key
