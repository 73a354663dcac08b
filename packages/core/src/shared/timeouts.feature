Feature: Calls end by their timeout or their signal

  # Guards against combined signals that never abort, as nothing holds their timeout.
  Scenario: A call ends in time though memory is collected meanwhile
    When a call without an answer has 50 ms, and memory is collected meanwhile
    Then the call has ended with "TimeoutError" within 1000 ms

  Scenario: A call ends with its signal, and leaves nothing on it
    When a call without an answer has 60000 ms, and its signal aborts
    Then the call has ended with "AbortError" within 1000 ms

  Scenario: A call that is answered leaves nothing on its signal
    When 200 calls with the same signal are answered
    Then no listener is left on the signal
