Feature: An owner that had lost its lease says when it serves again

  # Its server is granted the keys anew in each term of the lease, and until then requests wait at the
  # owner. What it said of itself did not change as the server took them, so that nobody looked at the
  # requests that waited: they ended at their deadlines, 1.5 s later, beside an owner that served.
  Scenario: Keys that the server has not taken in this term of the lease are not served
    Given an owner that serves all its keys
    When its lease runs out and begins anew
    Then it serves no key, and a request for one waits
    When its server has taken the keys again
    Then it serves all its keys
