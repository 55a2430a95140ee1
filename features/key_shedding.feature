Feature: Requests for a key whose owner refuses them are refused at the ingress daemon

  # Load pattern: 59 daemons, one owner that runs 30 requests a second of a key; its daemon handles
  # 200 a second, served or refused, and any backlog there delays the requests for all of its keys.
  Scenario: A key at eight times its owner's rate leaves the owner's daemon capacity for other keys
    Given 59 daemons and an owner that runs 30 requests a second and handles 200
    When its key is requested 240 times a second for 8 s, and other keys 60 times
    Then from 2 s on the owner's daemon receives at most 105 requests a second for the key
    And at least 27 requests a second of the key are served from 2 s on
    And the owner's daemon is at most 0.1 s behind from 4 s on

  Scenario: Without shedding, the owner's daemon falls behind for all its keys
    Given 59 daemons and an owner that runs 30 requests a second and handles 200
    When its key is requested as often without shedding
    Then the owner's daemon is at least 1 s behind from 2 s on

  Scenario: Free capacity is detected soon after the key is no longer hot
    Given 59 daemons and an owner that runs 30 requests a second and handles 200
    When its key is requested 240 times a second for 5 s, and then 15 times a second
    Then from 4 s after that on, at most 5 in 100 requests are refused at the ingress daemon

  Scenario: A few refusals by chance do not cause shedding
    Given a daemon that forwards 4 requests a second for a key, of which one in six is refused
    Then it sheds none of 200 requests

  Scenario: The number of keys on record is limited
    Given a daemon that was refused 5000 different keys
    Then it keeps at most 256 of them on record
