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

  # Guards against time-outs of answers that have arrived while the process did not get on.
  Scenario: An answer that arrived while the process was paused is not too late
    When a call over the network has 200 ms, is answered after 50 ms, and the process is paused for 600 ms
    Then the call is answered
