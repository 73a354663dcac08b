Feature: The speed of each engine is learnt from the low ones of its times

  # The load: engines of three speeds, of which each of many instances sees one seldom.
  Scenario Outline: Three speeds are told apart, although many times include a queue that nobody knows
    Given <instances> instances and 12 engines that take 0.6, 1 and 1.6 times 0.011 ms for a token, and 100 ms besides
    When 8 prompts a second are computed for 20 s, of which <share> wait 50 to 400 ms
    Then each instance holds each engine's speed within 0.25 of it

    Examples:
      | instances | share |
      | 3         | 0.3   |
      | 61        | 0.3   |

  Scenario: Engines of one speed differ in nothing
    Given 20 instances and 12 engines that take 1, 1 and 1 times 0.011 ms for a token, and 30 ms besides
    When 8 prompts a second are computed for 20 s, of which 0.3 wait 50 to 400 ms
    Then at most 1 in 12 engines are held to differ from the others at any instance

  Scenario: An engine that turns slower is known after two prompts, and known again after it recovers
    Given 20 instances and 12 engines that take 0.6, 1 and 1.6 times 0.011 ms for a token, and 100 ms besides
    When 8 prompts a second are computed for 20 s, of which 0.1 wait 50 to 400 ms
    And engine "p1" turns 4 times slower and computes 2 prompts
    Then each instance holds "p1" to be at least 3 times slower than before
    When engine "p1" recovers and 3000 ms pass
    Then each instance holds "p1" to be at most 1.3 times slower than before

  Scenario: What is known ends with the engine's process, and odd reports change nothing
    Given 1 instances and 12 engines that take 0.6, 1 and 1.6 times 0.011 ms for a token, and 100 ms besides
    When 8 prompts a second are computed for 20 s, of which 0 wait 50 to 400 ms
    And odd times are reported
    Then each instance holds each engine's speed within 0.25 of it
    When the process of engine "p0" has ended
    Then each instance holds "p0" to be as quick as the median

  Scenario: A report that cannot be true says nothing about an engine that is not known yet
    Given 1 instances and 12 engines that take 0.6, 1 and 1.6 times 0.011 ms for a token, and 100 ms besides
    When odd times are reported
    Then each instance holds "p6" to be as quick as the median
    And each instance holds "p7" to be as quick as the median
