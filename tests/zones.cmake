# Zones: the page's tables, and histories of evidence that is wrong in every way.
add_executable(zones_test zones_test.cpp)
target_link_libraries(zones_test PRIVATE mothrack_zone_failover GTest::gtest_main)
target_compile_definitions(zones_test PRIVATE MOTHRACK_ZONES_PAGE="${PROJECT_SOURCE_DIR}/docs/design/zones.md")
gtest_discover_tests(zones_test PROPERTIES TIMEOUT 300)
add_test(NAME zones_long_histories COMMAND zones_test --gtest_filter=ZoneHistories.Keep*)
set_tests_properties(zones_long_histories PROPERTIES TIMEOUT 7200 LABELS slow ENVIRONMENT HISTORIES=100000)
