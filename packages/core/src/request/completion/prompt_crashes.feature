Feature: Completions with a prompt prefix under which engines crash are refused, and others go on

  Scenario: Prompts that are alike in a prefix only are refused after three crashes, at every instance
    Given two instances that exchange evidence
    When 3 engines crash, each under a new prompt "root bad" beside one "root fine"
    Then both instances refuse a new prompt "root bad" as not run
    And both instances admit a new prompt "root fine"

  Scenario: Prompts of which others complete in between are admitted
    Given two instances that exchange evidence
    When 6 engines crash, each under a new prompt "root fine" beside one "root other", with completed ones in between
    Then both instances admit a new prompt "root fine"

  Scenario: Lost connections of engines that live refuse nothing
    Given two instances that exchange evidence
    When 5 new prompts "root bad" lose their connections to engines that go on
    Then both instances admit a new prompt "root bad"
