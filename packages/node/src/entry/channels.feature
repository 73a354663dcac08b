Feature: Connections carry one call at a time and none after a wrong answer

  Background:
    Given a server that follows a script

  Scenario: A whole answer is read and its connection used again
    When calls are answered "whole, whole, whole"
    Then the results are "200 body, 200 body, 200 body"
    And 1 connections were opened

  Scenario Outline: After a wrong answer the connection is not used again
    When calls are answered "<script>"
    Then the results are "<results>"
    And <opened> connections were opened

    Examples:
      | script                  | results                    | opened |
      | whole and extra, whole  | 200 body, 200 body         | 2      |
      | torn, whole             | unknown, 200 body          | 2      |
      | nonsense, whole         | unknown, 200 body          | 2      |
      | closed, whole           | unknown, 200 body          | 2      |
      | reset, whole            | unknown, 200 body          | 2      |
      | without length, whole   | 200 body to the end, 200 body | 2   |
      | reset without length, whole | unknown, 200 body      | 2      |
      | early, whole            | 413 body, 200 body         | 2      |
      | last, whole             | 200 body, 200 body         | 2      |

  Scenario: An answer that is given up closes its connection at once
    When a call is given up while its answer arrives
    Then the server sees its connection closed
    And the results are "unknown"

  Scenario: A refused connection certainly did not run the call
    When a call goes to an address where nothing listens
    Then the results are "not sent"

  Scenario: A connection that was idle for too long is not trusted
    When calls are answered "whole"
    And the next call allows an idle time of 0 ms and is answered "whole"
    Then 2 connections were opened

  Scenario: An idle connection that the server closes is not used again
    When calls are answered "whole then closed, whole"
    Then the results are "200 body, 200 body"
    And 2 connections were opened

  Scenario: A reader that does not read stops the server
    When an answer of 8000000 bytes is not read
    Then the server could not send all of it
