Feature: Requests for a key that its owner turns away are refused where they come in

  # Load pattern: 59 daemons, one owner that runs 30 requests a second of a key; its daemon
  # handles 200 a second, served or refused, and whatever it is behind makes all of its keys late.
  Scenario: A key at eight times its owner's rate leaves the owner's daemon room for other keys
    Given 59 daemons and an owner that runs 30 requests a second and handles 200
    When its key is asked for 240 times a second for 8 s, and other keys 60 times
    Then from 2 s on the owner's daemon is asked for the key at most 105 times a second
    And at least 27 requests a second of the key are served from 2 s on
    And the owner's daemon is at most 0.1 s behind from 4 s on

  Scenario: Without it the owner's daemon falls behind, and all its keys with it
    Given 59 daemons and an owner that runs 30 requests a second and handles 200
    When its key is asked for as often without shedding
    Then the owner's daemon is at least 1 s behind from 2 s on

  Scenario: Room is seen soon after the hot time
    Given 59 daemons and an owner that runs 30 requests a second and handles 200
    When its key is asked for 240 times a second for 5 s, and then 15 times a second
    Then from 4 s after that on, at most 5 in 100 requests are refused where they come in

  Scenario: A few refusals by chance are no reason to refuse more
    Given a daemon that sends on 4 requests a second for a key, of which one in six is refused
    Then it refuses none of 200 by itself

  Scenario: Only so many keys are known
    Given a daemon that was refused 5000 different keys
    Then it knows at most 256 of them
