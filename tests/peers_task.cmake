# The peers' task, its boxes and its settings; and real programs with it.
add_executable(peers_task_test peers_task_test.cpp)
target_link_libraries(peers_task_test PRIVATE mothrack_sidecar mothrack_ctl node_peers mothrack_standins
                      GTest::gtest_main)
target_compile_definitions(peers_task_test PRIVATE MOTHRACK_AGENT="$<TARGET_FILE:mothrack-agent>")
add_dependencies(peers_task_test mothrack-agent)
gtest_discover_tests(peers_task_test PROPERTIES TIMEOUT 120)

# What only installations with peers have stays out of a program that was built without them.
add_test(NAME platform_links_no_peers COMMAND ${CMAKE_CURRENT_SOURCE_DIR}/platform_links.sh ${PROJECT_SOURCE_DIR})
set_tests_properties(platform_links_no_peers PROPERTIES TIMEOUT 1200 LABELS slow)
