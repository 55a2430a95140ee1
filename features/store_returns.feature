Feature: A store that comes back from an older copy, in virtual time

  The store may go away and come back from a copy that is some seconds old: what daemons wrote
  since is gone, and the numbers of those writes are given out again.

  # Every process of the fleet ended just after keys had moved, and the store that answered when
  # they started again was a copy from before the move. All daemons had acted on key map 4 and now
  # read "version":3; the planner wrote "version":4 once more, with the fence one above that of map
  # 3. A target got keys under fence 4 that another target had held under fence 4. Fences and
  # versions were taken to be new because they were one above what the store had.
  Scenario: Everything loses power, and the store comes back from before the last moves
    Given a fleet of 4 targets that serves
    When the store is copied and targets 1 and 2 hand over, one after the other
    And everything loses power, the store goes back and all starts again after 1.4 s
    Then every key is served after 8 s
    And no key ever had two holders
    And the fences that were given are above all earlier ones
