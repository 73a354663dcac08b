Feature: Orders survive the loss of the lease holder in the middle

  Scenario Outline: A holder is <fault> once <moment>, before engines that <check> numbers
    Given an authority fleet of 3 instances before engines that <check> numbers
    When a new model version is published and its holder is <fault> once <moment>
    Then another instance holds the lease of the pool
    When the struck instance is let go on
    Then all engines of the pool run the new model version

    Examples:
      | check  | fault                | moment                     |
      | check  | paused               | the log has its order      |
      | check  | killed               | an engine has its order    |
      | check  | cut off from the log | the log has its order      |
      | ignore | paused               | the log has its order      |
      | ignore | killed               | the log has its order      |
      | ignore | cut off from the log | an engine has its order    |
