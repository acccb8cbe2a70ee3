# Builds one test program from each file in the test folders. test/support contains shared test
# code.
add_library(cornelshed_test_main OBJECT ${CMAKE_SOURCE_DIR}/test/support/main.cpp)
target_link_libraries(cornelshed_test_main PUBLIC doctest::doctest)

file(GLOB CORNELSHED_TEST_SUPPORT CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/test/support/*.cpp)
list(FILTER CORNELSHED_TEST_SUPPORT EXCLUDE REGEX "main\\.cpp$")
add_library(cornelshed_test_support STATIC ${CORNELSHED_TEST_SUPPORT})
target_include_directories(cornelshed_test_support PUBLIC ${CMAKE_SOURCE_DIR}/test/support)
target_link_libraries(cornelshed_test_support PUBLIC cornelshed_platform doctest::doctest
  rapidcheck)
target_compile_definitions(cornelshed_test_support PUBLIC
  CORNELSHED_SOURCE_DIR="${CMAKE_SOURCE_DIR}" CORNELSHED_BINARY_DIR="${CMAKE_BINARY_DIR}")
if(TARGET cornelshed_measure)
  target_link_libraries(cornelshed_test_support PUBLIC cornelshed_measure)
endif()
if(TARGET cornelshed_demo)
  target_link_libraries(cornelshed_test_support PUBLIC cornelshed_demo)
endif()
if(TARGET cornelshed_standins)
  target_link_libraries(cornelshed_test_support PUBLIC cornelshed_standins)
endif()

foreach(kind correctness error performance fuzz)
  file(GLOB files CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/test/${kind}/*.cpp)
  foreach(file IN LISTS files)
    get_filename_component(part ${file} NAME_WE)
    set(name test_${kind}_${part})
    add_executable(${name} ${file} $<TARGET_OBJECTS:cornelshed_test_main>)
    target_link_libraries(${name} PRIVATE cornelshed_test_support)
    add_test(NAME ${kind}.${part} COMMAND ${name})
    # A fixed seed makes the result the same on every run.
    set_tests_properties(${kind}.${part} PROPERTIES
      ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 240 LABELS ${kind})
    # Tests that run at the same time would distort the measurements, and callers that ignore limits
    # would disturb them.
    if(kind STREQUAL "performance" OR part MATCHES "^hostile")
      set_tests_properties(${kind}.${part} PROPERTIES RUN_SERIAL TRUE)
    endif()
  endforeach()
endforeach()
