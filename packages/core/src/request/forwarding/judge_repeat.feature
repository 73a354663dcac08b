Feature: Whether a call without an answer is repeated early

  Scenario Outline: A slow service is told from a slow endpoint
    Then a call with a goal of <goal> ms, a usual time of <usual> ms, sent <since> ms ago and with <left> ms left is judged "<verdict>"

    Examples: one silent endpoint beside quick ones, then a service that is slow as a whole
      | goal | usual | since | left | verdict  |
      | 300  | 20    | 449   | 1051 | not_late |
      | 300  | 20    | 450   | 1050 | repeat   |
      | 300  | 850   | 850   | 650  | not_late |
      | 300  | 850   | 1275  | 225  | no_time  |
      | 300  | 850   | 1275  | 8000 | repeat   |

    Examples: nothing measured
      | goal | usual | since | left | verdict  |
      | 300  | -     | 1200  | 300  | not_late |
      | 300  | -     | 1400  | 100  | no_time  |
      | 600  | -     | 2900  | 3100 | not_late |
      | 600  | -     | 3000  | 3000 | repeat   |

    Examples: objectives that say nothing
      | goal | usual | since | left | verdict  |
      | 0    | -     | 1400  | 100  | not_late |
      | 0    | 20    | 30    | 1470 | repeat   |
      | 5000 | 20    | 1400  | 100  | not_late |

  Scenario: No load gets a repeat without permission, endpoint and time
    Then no facts lead to a repeat without permission, endpoint and time, or before answers usually come

  Scenario: One endpoint is no measure of itself
    Given "e1" answered 20 times in 900 ms and "e2" 5 times in 20 ms
    Then the usual time is 20 ms without "e1" and 900 ms without "e2"
    And no usual time is known 15001 ms later
