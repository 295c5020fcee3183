# Helpers that keep each folder's CMakeLists.txt to a line or two.

set(GUAVAVALVE_WARNINGS -Wall -Wextra -Wpedantic -Wshadow=local -Werror)

# guavavalve_module(NAME LIBRARIES...) builds every .cpp of the folder and below it as the library
# guavavalve_NAME. Includes are written from src: #include "decisions/scheduler.h".
function(guavavalve_module name)
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    set(target guavavalve_${name})
    if(sources)
        add_library(${target} STATIC ${sources})
        target_compile_options(${target} PRIVATE ${GUAVAVALVE_WARNINGS})
        target_include_directories(${target} PUBLIC ${CMAKE_SOURCE_DIR}/src)
        target_link_libraries(${target} PUBLIC ${ARGN})
    else()
        add_library(${target} INTERFACE)
        target_include_directories(${target} INTERFACE ${CMAKE_SOURCE_DIR}/src)
        target_link_libraries(${target} INTERFACE ${ARGN})
    endif()
endfunction()

# guavavalve_program(NAME LIBRARIES...) builds every .cpp of the folder as the program NAME.
function(guavavalve_program name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${name} ${sources})
    target_compile_options(${name} PRIVATE ${GUAVAVALVE_WARNINGS})
    target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR}/test)
    target_link_libraries(${name} PRIVATE ${ARGN})
endfunction()

# guavavalve_test(NAME LIBRARIES...) builds the folder's .cpp as the program NAMEtest and gives
# each Catch2 test case a name of its own in ctest.
function(guavavalve_test name)
    guavavalve_program(${name}test ${ARGN} guavavalve_testmain Catch2::Catch2)
    catch_discover_tests(${name}test TEST_PREFIX "${name}: " PROPERTIES TIMEOUT 300)
endfunction()
