# Rings that stay put: owners, generations and load on their own, every row of the page's tables, and histories.
add_executable(ring_test ring_test.cpp)
target_link_libraries(ring_test PRIVATE mothrack_hash_ring GTest::gtest_main)
target_compile_definitions(ring_test PRIVATE MOTHRACK_RING_PAGE="${PROJECT_SOURCE_DIR}/docs/design/ring.md")
# GCC 12 takes strings put together for copies onto themselves.
target_compile_options(ring_test PRIVATE -Wno-restrict)
gtest_discover_tests(ring_test PROPERTIES TIMEOUT 300)
add_test(NAME ring_long_histories COMMAND ring_test --gtest_filter=Histories.KeepTheRules)
set_tests_properties(ring_long_histories PROPERTIES TIMEOUT 7200 LABELS slow ENVIRONMENT HISTORIES=10000)
