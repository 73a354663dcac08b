Feature: The operators' pages

  Scenario Outline: The commands of <page> run
    Given a fleet as the page "<page>" expects it
    Then every command of the page ends as the page says

    Examples:
      | page               |
      | first_day.md       |
      | rolling_out.md     |
      | log_down.md        |
      | waiting_engines.md |
      | planned_stops.md   |

  Scenario: Every warning and error is explained
    Then the page of events explains each warning and error of the catalogues and no other

  Scenario: Reasons that orders wait are explained
    Given a fleet as the page "waiting_engines.md" expects it
    Then the page of waiting engines explains each reason that the orders show
