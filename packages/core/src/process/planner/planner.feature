Feature: Role changes are few and pay

  Scenario: Any steady mix comes to rest
    Then under any steady demand the planner stops after at most 8 changes and keeps the floors

  Scenario: Nothing changes while an engine is away
    Given a pool of 6 engines under long prompts
    When one engine of the pool is not ready
    Then the planner changes nothing

  Scenario: A dear change is not made
    Given a pool of 6 engines under long prompts
    When a role change is worth 100000 useful answers
    Then the planner changes nothing

  Scenario: Long prompts want more engines that compute prompts
    Given a pool of 6 engines under long prompts
    Then the planner makes a mixed engine compute prompts only
