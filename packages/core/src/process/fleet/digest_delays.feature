Feature: Transit delays of digests are estimated without comparing clocks

  Background:
    Given digests of an instance whose clock differs by 123456 ms

  Scenario: The smallest difference of the clocks counts as no delay
    When digests take "30, 5, 5, 805, 5" ms
    Then their delays are "0, 0, 0, 800, 0" ms

  Scenario: A lasting delay is not taken for the way itself
    When digests take "5, 1005, 2005, 2005, 2005" ms
    Then their delays are "0, 1000, 2000, 2000, 2000" ms

  Scenario: A new run of the sender has a clock of its own
    When digests take "5, 2005, 5, 5, 5" ms
    And the instance starts again with a clock that differs by 77 ms
    And digests take "9, 9, 509, 9, 9" ms
    Then their delays are "0, 0, 500, 0, 0" ms

  Scenario: A sender whose clock stood still counts as delayed for a while only
    When digests take "5, 5, 5, 5, 5" ms
    And the clock of the instance stands still for 2000 ms
    And digests take "5, 5, 5, 5, 5" ms
    Then their delays are "2000, 2000, 2000, 2000, 2000" ms
    When 100 s pass between digests
    And digests take "5, 5, 5, 5, 5" ms
    Then their delays are "0, 0, 0, 0, 0" ms

  Scenario: A digest of a former version counts as not delayed
    When a digest does not say when it was sent
    Then their delays are "0" ms
    And 0 of their delays are reliable

  # Guards against news that counts as fresh because all digests of its sender were late.
  Scenario: The first digests of a run of their sender do not tell how late they are
    When 3 digests that took 2400 ms arrive together
    Then 0 of their delays are reliable
    When digests take "5, 5, 5" ms
    Then 2 of their delays are reliable
    When the instance starts again with a clock that differs by 77 ms
    And digests take "9" ms
    Then 0 of their delays are reliable
