# Declares the library target of one module and, if it has tests, its test target.
#
#   wist_module(NAME claims
#               SOURCES internal/claim_registry.cc
#               DEPENDS verdict platform
#               LIBRARIES Poco::Net
#               TESTS tests/claim_registry_test.cc)
#
# The library target is wist_<NAME>, the test target is wist_<NAME>_test, and the
# name in CTest is <NAME>.
function(wist_module)
  cmake_parse_arguments(ARG "" "NAME" "SOURCES;DEPENDS;LIBRARIES;TESTS;TEST_DEPENDS" ${ARGN})
  set(target wist_${ARG_NAME})
  if(ARG_SOURCES)
    add_library(${target} STATIC ${ARG_SOURCES})
    set(scope PUBLIC)
  else()
    add_library(${target} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(${target} ${scope} ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR})
  target_link_libraries(${target} ${scope} wist_options ${ARG_LIBRARIES})
  foreach(dependency IN LISTS ARG_DEPENDS)
    target_link_libraries(${target} ${scope} wist_${dependency})
  endforeach()
  if(ARG_TESTS AND WIST_TESTS)
    add_executable(${target}_test ${ARG_TESTS})
    target_link_libraries(${target}_test PRIVATE ${target} wist_test_main)
    foreach(dependency IN LISTS ARG_TEST_DEPENDS)
      target_link_libraries(${target}_test PRIVATE wist_${dependency})
    endforeach()
    add_test(NAME ${ARG_NAME} COMMAND ${target}_test)
  endif()
endfunction()
