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

  # A planner that is started after the store went back knows only what the store has. The lost map
  # had given key 0 to one target under fence 4, the planner went on from the map before it, and
  # the former owner was granted the key once more: "key_map_written" named the older ranges, and a
  # target took the key under fence 1 or 3 after another one had it under 4.
  Scenario Outline: Whatever happens before and after, a key has one holder and its fence rises: <seed>, <way>
    When the play of seed <seed> with keys by <way> is run
    Then it breaks no promise

    Examples:
      | seed | way       |
      | 1046 | heartbeat |
      | 1081 | heartbeat |
      | 1093 | heartbeat |
      | 2049 | heartbeat |
      | 2072 | heartbeat |
      | 2103 | heartbeat |
      | 1012 | call      |
      | 1095 | call      |
      | 1140 | call      |
      | 2011 | call      |
      | 2036 | call      |
      | 2065 | call      |

  Scenario Outline: Who holds keys by a lost map, and hears of nothing, is waited for: <rule>
    Given the rule "<rule>" of returns is removed
    And a fleet of 4 targets that serves
    When the store is copied and target 1 hands over
    And the store goes back, daemon 2 hears of nothing and the others start again
    Then two holders of a key <are> found within 6 s

    Examples:
      | rule                                             | are     |
      | none                                             | are not |
      | nobody begins keys while a map is unsettled      | are     |
      | instances wait out what lost maps let them grant | are     |

  Scenario Outline: Daemons that live through it go on serving every key: <way>
    Given <way>
    And a fleet of 6 targets that serves
    When the store is copied and targets 1 and 2 hand over, one after the other
    And the store goes back, away for 0.5 s
    Then every key was served for 12 s
    And no key changed its holder

    Examples:
      | way                                   |
      | targets that take keys by heartbeats  |
      | targets that take their keys by calls |

  Scenario: All daemons start again, and their targets live on
    Given a fleet of 4 targets that serves
    When the store is copied and targets 1 and 2 hand over, one after the other
    And all daemons are killed, the store goes back and they start again after 1.4 s
    Then every key is served after 6 s
    And no key ever had two holders

  # -- decisions ---------------------------------------------------------------------------

  Scenario: Numbers of a later era are above all of an earlier one
    Then map 7 of era 0 is followed by number 8 in era 0
    And in eras 1 to 3 each number is above all that any earlier era can give

  Scenario: Who did not hold its keys all along gets them only under a fence of the new era
    Given a target that was granted keys by a map of era 1
    When its hold has run out and its daemon adopts that map as era 2 numbers it
    Then it is granted nothing, neither while the map is unsettled nor after
    When the planner has settled the map
    Then it is granted its keys under a fence of era 2

  Scenario: Who holds its keys goes on with them under the fence that it has
    Given a target that was granted keys by a map of era 1
    When its daemon adopts that map as era 2 numbers it
    Then it is granted its keys under a fence of era 1

  Scenario: A daemon of a later era tells nothing to who acts on a lost map
    Given a target that was granted keys by a map of era 1
    When its daemon adopts a map of era 2 in which they are another one's
    Then it lets nobody have them by map 9 of era 1

  Scenario: A witness releases nobody to who acts on a lost map
    Given a witness that has renewed an owner by map 3 of era 1
    When it has renewed that owner by map 1 of era 2 and acts on map 9 of era 1
    Then it releases the owner to nobody by map 9 of era 1
    When it acts on map 1 of era 2 and its grants have run out
    Then it releases the owner to nobody by map 9 of era 1

  Scenario: A witness says when no lease runs by maps of earlier eras
    Given a witness that has renewed an owner by map 3 of era 1
    When it acts on map 1 of era 2
    Then it says after 3.2 s, and not before, that no lease runs by maps of era 1

  Scenario: A witness that started after the store went back renews nobody by older maps
    Given a witness that read the maps in era 2
    Then it renews an owner by map 1 of era 2 and by no map of era 1

  Scenario: A write from before that is done after the store went back replaces nothing
    Given a fleet of 4 targets that serves
    When the next write of the planner is done only after the store has gone back and was written again
    Then the store has the newest key map that daemons act on
    And every key is served after 8 s
