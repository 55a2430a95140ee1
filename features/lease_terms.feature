Feature: An owner that had lost its lease reports when it serves again

  # Guards against requests that stay parked at an owner that serves. The server is granted the keys
  # again in each term of the lease, and until then requests wait at the owner. If the owner's
  # reported state does not change when the server takes the keys, the parked requests are not
  # checked again and fail at their deadlines, 1.5 s later.
  Scenario: Keys that the server has not taken in this term of the lease are not served
    Given an owner that serves all its keys
    When its lease expires and a new term begins
    Then it serves no key, and a request for one waits
    When its server has taken the keys again
    Then it serves all its keys
