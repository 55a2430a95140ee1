Feature: Requests for a key in a handover wait for it, or are refused at once with a retry delay

  # Load pattern: keys are unavailable for 0.8 s while load is levelled among busy targets; requests
  # run 0.3 s and arrive all the time.
  Scenario Outline: A request waits if it can get its response by its deadline: <at> s into the handover
    Given a target whose last ten handovers took 0.8 s
    When its keys become unavailable and <at> s later a request arrives with <left> s left, which runs 0.3 s
    Then it <what>

    Examples:
      | at  | left | what                                   |
      | 0.0 | 1.2  | waits for at most 0.84 s               |
      | 0.1 | 0.8  | is refused with a retry delay of 0.7 s |
      | 0.5 | 0.8  | waits for at most 0.44 s               |
      | 0.5 | 0.5  | is refused with a retry delay of 0.3 s |
      | 1.5 | 0.8  | waits for at most 0.44 s               |
      | 1.5 | 0.4  | is refused with a retry delay of 0.2 s |

  Scenario: The expected duration follows the handovers that are observed
    Given a target whose last ten handovers took 0.8 s
    When ten handovers take 0.1 s
    Then keys are expected to be unavailable for 0.1 to 0.2 s

  Scenario: No request that arrives during a handover waits and is then refused
    Given a target whose last ten handovers took 0.8 s
    When its keys are unavailable for 0.8 s and requests with 0.8 s left arrive every 0.05 s, which run 0.3 s
    Then 8 of 16 are served, and the others were refused at once
