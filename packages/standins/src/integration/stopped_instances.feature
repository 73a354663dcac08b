Feature: Instances that stop answer all calls that they have taken

  # Guards against calls that are cut without an answer at the deadline of a stop.
  Scenario Outline: A <kind> whose endpoint takes longer than the stop is answered
    Given the instance "one" with a notice of 600 ms and 1500 ms to stop
    When "one" is asked to stop, and a <kind> comes <ms> ms later whose endpoint takes 9000 ms
    Then the call is answered as unknown with the status <status>
    And the instance has exited with code 0 within 6 s

    Examples:
      | kind                | ms   | status |
      | booking             | 300  | 502    |
      | look-up             | 300  | 502    |
      | completion          | 300  | 504    |
      | streamed completion | 300  | 504    |
      | booking             | -300 | 502    |
      | completion          | -300 | 504    |

  Scenario: A stream that has begun says at the end of the stop that it is incomplete
    Given the instance "one" with a notice of 600 ms and 1500 ms to stop
    When "one" is asked to stop while a streamed completion of 4000 tokens is written
    Then the stream ends with the refusal "deadline_exceeded"
    And the instance has exited with code 0 within 6 s
