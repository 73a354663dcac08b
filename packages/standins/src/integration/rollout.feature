Feature: Rollouts of real instances keep capacity and cut nothing

  Background:
    Given three instances before three engines under a load with seed 61

  Scenario: A rollout under load loses no request
    When the bundle with the next model version is rolled out
    Then all three engines run it, one at a time, and cut no request
    And every completion under the rollout was answered whole

  Scenario: The conductor is killed between two engines
    When the bundle with the next model version is rolled out
    And the conductor is killed when its first order has ended
    Then all three engines run it, one at a time, and cut no request

  Scenario: The conductor is suspended between two engines and wakes up
    When the bundle with the next model version is rolled out
    And the conductor is suspended for 6 s when its first order has ended
    Then all three engines run it, one at a time, and cut no request
